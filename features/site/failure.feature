Feature: The promises under failures of separate processes
  Processes are killed, frozen and lose their disks; what was accepted stays in force and nothing runs twice.

  Scenario: The leading control process is killed and an accepted command stays in force
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the leading control process gets the signal "SIGKILL"
    And the operator takes the zone "cyberjaya" out and waits until it is in force everywhere
    And the killed control process starts again
    Then the site shows the zones "cyberjaya, shah-alam" as out
    When the caller sends 20 calls for "seam-records"
    Then no call of the last ones was run in the zone "shah-alam"

  Scenario: The leading control process is frozen, others go on, and it wakes without reverting anything
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the leading control process gets the signal "SIGSTOP"
    And the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the frozen control process wakes
    Then the site shows the zones "shah-alam" as out
    And no entry of the site ever lowered its revision
    When the caller sends 20 calls for "seam-records"
    Then no call of the last ones was run in the zone "shah-alam"

  Scenario: An entry that was frozen while a zone was taken out sends it nothing on waking
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya"
    And an upstream of "seam-records" in each of these zones
    When the entry "entry-1" gets the signal "SIGSTOP"
    And the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And 20 calls for "seam-records" wait at the entry "entry-1" while it wakes
    Then no call of the last ones was run in the zone "shah-alam"

  Scenario: A keyed request whose entry froze is sent again through another and runs once
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya, cyberjaya"
    And an upstream of "hold-filing" in each of these zones
    And every entry of the site answers for claims
    When keyed requests for "hold-filing" are sent through "entry-1" while it freezes
    And each is sent again through "entry-2" and "entry-3"
    And the entry "entry-1" gets the signal "SIGCONT"
    And each is sent again through "entry-1" and "entry-2"
    Then no keyed request ran more than once
    And each keyed request that was answered as not run did not run before that answer

  Scenario: A request that crashes its upstreams is refused after few victims
    Given a site of 1 control processes and entries in the zones "bangkok-1, bangkok-2"
    And 6 upstreams of "orders" that crash on the path "poison"
    When the caller sends the crashing request 12 times, through all entries
    Then at most 4 upstreams have crashed
    And the last crashing request was refused by its fingerprint
    And calls for "orders" without the poison are answered

  Scenario: Restarting all entries one after another cuts off no request
    Given a site of 3 control processes and entries in the zones "shah-alam, putrajaya, cyberjaya"
    And an upstream of "seam-records" in each of these zones
    When a caller that follows the contract calls "seam-records" while each entry is restarted
    Then no request of that caller was cut off or refused

  Scenario: A control process that lost its disk comes back as a new member
    Given a site of 3 control processes and entries in the zones "shah-alam"
    When the operator takes the zone "shah-alam" out and waits until it is in force everywhere
    And the control process "control-2" loses its disk and comes back with join = true
    And the control process "control-3" is killed for good
    Then the site shows the zones "shah-alam" as out
    When the operator brings the zone "shah-alam" in and waits until it is in force everywhere
    Then the site shows the zones "" as out
