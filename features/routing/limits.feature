Feature: Routing limits, queues, retries, cold start, probes and shares

  Scenario Outline: Requests on a cold upstream are divided over a fleet of <size>
    Given routing entries <size> that know a cold upstream and share calls
    Then at any time routing sends at most 2 at once and 20 a second to the cold upstream
    And every routing entry gets its turn on the cold upstream

    Examples:
      | size |
      | 1    |
      | 5    |
      | 22   |

  Scenario: A joining entry sends nothing to a cold upstream and probes nothing
    Given a routing entry that is still joining
    Then it sends nothing to a cold upstream and probes nothing

  Scenario: A warm upstream that reports cold gets one request at a time after that answer
    Given a routing entry with a warm upstream that has 4 requests in flight
    When the upstream reports cold on 1 answer
    Then routing tells the fleet that it is cold and refuses to send more now

  Scenario: Batch calls are refused while interactive calls still find room
    Given a routing entry with one upstream of 6 slots
    Then of 250 waiting calls the table of endings by criticality matches the snapshot

  Scenario: A queued call is refused once it can't start in time
    Given a routing entry with one upstream of 6 slots
    When its queue stands still beyond the deadlines
    Then every waiting routing call was refused as overloaded

  Scenario: Retries stay within the budget of each depth
    Then retries at depths 0, 5 and 10 match the snapshot
    And a storm through 11 levels multiplies the calls by less than 1.4

  Scenario: No more than half of the upstreams are ejected
    Given a routing state with upstreams in zones a, b and c
    When every routing answer is an error
    Then at most 3 of the 6 upstreams are ejected at once

  Scenario: An upstream that fails fast draws little traffic
    Given a routing state with upstreams in zones a, b and c
    When the routing answers of "a1" are errors at once and others take 10 ms
    Then "a1" got less than 5 percent of the sends

  Scenario: Version weights are obeyed call by call
    Then the share of calls to a moving version matches the snapshot

  Scenario: Connection budgets and subsets
    Then connection budgets and subsets match the snapshot

  Scenario: Without a lease calls are refused as stale, also those that wait
    Given a routing entry with one upstream of 6 slots
    When its queue fills and its lease is lost
    Then every waiting routing call was refused as stale

  Scenario: Waiting calls are refused at once when their last upstream leaves
    Given a routing entry with one upstream of 6 slots
    When its queue fills and its upstream is told to leave
    Then every waiting routing call was refused as noUpstream

  Scenario: A condemned fingerprint is refused until its time is over
    Given a routing entry with one upstream of 6 slots
    When fingerprint "kill" is condemned for 100 ms
    Then a call with fingerprint "kill" is refused now and sent after 100 ms

  Scenario: An upstream that drains unannounced and refuses all is left alone
    Given a routing state with upstreams in zones a, b and c
    When the routing upstream "a1" refuses all as not run and others take 10 ms
    Then "a1" got less than 2 percent of the sends
    And no routing call was refused

  Scenario: Callers with deadlines that are too short eject no upstream
    Given a routing state with upstreams in zones a, b and c
    When 200 routing calls time out after 1 ms where answers take 10 ms
    Then at most 0 of the 6 upstreams are ejected at once

  Scenario: An upstream that calls itself cold for minutes at normal latency is used in full again
    Given routing entries 1 that know a cold upstream and share calls
    Then the minute in which routing no longer believes its reports matches the snapshot
