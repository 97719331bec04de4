Feature: Guarantees under failures of separate processes
  Processes are killed, suspended or lose their disks; accepted commands stay in force and nothing runs twice.

  Scenario: An accepted command stays in force when the control leader is killed
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the control leader gets the signal "SIGKILL"
    And the operator takes the zone "cyberjaya" out and waits until it is in force everywhere
    And the killed control process is restarted
    Then the site shows the zones "cyberjaya, shah-alam" as out
    When the caller sends 20 calls for "seam-records"
    Then none of the last calls ran in the zone "shah-alam"

  Scenario: A control leader that was suspended and replaced reverts nothing when it resumes
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the control leader gets the signal "SIGSTOP"
    And the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the suspended control process resumes
    Then the site shows the zones "shah-alam" as out
    And no entry of the site ever lowered its revision
    When the caller sends 20 calls for "seam-records"
    Then none of the last calls ran in the zone "shah-alam"

  Scenario: An entry that was suspended while a zone was taken out sends no call there when it resumes
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the entry "entry-1" gets the signal "SIGSTOP"
    And the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And 20 calls for "seam-records" are sent to the suspended entry "entry-1", which then resumes
    Then none of the last calls ran in the zone "shah-alam"

  Scenario: A keyed request whose entry is suspended is retried through other entries and runs at most once
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya, cyberjaya"
    And an upstream of "hold-filing" in each of these zones
    And every entry of the site is ready for claims
    When keyed requests for "hold-filing" are sent through "entry-1" while it is suspended repeatedly
    And each is retried through "entry-2" and "entry-3"
    And the entry "entry-1" gets the signal "SIGCONT"
    And each is retried through "entry-1" and "entry-2"
    Then no keyed request ran more than once
    And no keyed request that was answered as not run had run before that answer

  Scenario: A request that crashes upstreams is refused after a few crashes
    Given a site of 1 control processes and entries in the zones "bangkok-1, bangkok-2"
    And 6 upstreams of "orders" that crash on requests whose path contains "poison"
    When the caller sends the crashing request 12 times, through all entries
    Then at most 4 upstreams have crashed
    And the last crashing request was refused by its fingerprint
    And other calls for "orders" are answered successfully

  Scenario: A rolling restart of all entries interrupts no request
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya, cyberjaya"
    And an upstream of "seam-records" in each of these zones
    When a caller that follows the contract for callers calls "seam-records" while each entry is restarted
    Then no request of that caller was cut off or refused

  Scenario: A control process that lost its disk rejoins as a new member
    Given a site of 3 control processes and entries in the zones "shah-alam"
    When the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the control process "control-2" loses its disk and restarts with join = true
    And the control process "control-3" is killed and not restarted
    Then the site shows the zones "shah-alam" as out
    When the operator brings the zone "shah-alam" in and waits until it is in force everywhere
    Then the site shows the zones "" as out
