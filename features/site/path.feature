Feature: Calls and operators' commands across separate processes
  A caller requests addresses, connects to one and receives a complete answer; an operator takes a zone out.

  Scenario: Calls before, while and after a zone is taken out
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya, cyberjaya"
    And an upstream of "seam-records" in each of these zones
    When a caller requests addresses from an entry
    Then the response lists addresses of entries with a time to live, nearest zone first
    When the caller sends 30 calls for "seam-records"
    Then every call of the site is answered completely by an announced upstream
    When the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the caller sends 30 calls for "seam-records"
    Then every call of the site is answered completely by an announced upstream
    And none of the last calls ran in the zone "shah-alam"
    When the operator brings the zone "shah-alam" in and waits until it is in force everywhere
    Then calls for "seam-records" reach the zone "shah-alam" again

  Scenario: An upstream that announces itself later receives calls
    Given a site of 1 control processes and entries in the zones "bangkok-1"
    When an upstream "late-1" of "orders" announces itself to the site
    And the caller sends 5 calls for "orders"
    Then every call of the site is answered completely by an announced upstream

  Scenario: Killing an upstream under load terminates no entry
    Given a site of 1 control processes and entries in the zones "bangkok-1, bangkok-2"
    And an upstream of "orders" in each of these zones
    When the upstream "orders-bangkok-1" is killed while the caller sends calls for "orders"
    And the caller sends 20 calls for "orders" one after another
    Then every call of the site is answered completely by an announced upstream
    And every entry of the site is still running
