Feature: Routing limits, queues, retries, cold start, probes and shares

  Scenario Outline: Requests to a cold upstream are divided among a fleet of <size>
    Given routing entries <size> that share a cold upstream
    Then routing has at most 2 requests in flight on the cold upstream and starts at most 20 a second
    And at least half of the routing entries send requests to the cold upstream

    Examples:
      | size |
      | 1    |
      | 5    |
      | 22   |

  Scenario: A joining entry sends nothing to a cold upstream and probes nothing
    Given a routing entry that is still joining
    Then it sends nothing to a cold upstream and probes nothing

  Scenario: A warm upstream that reports cold gets one request at a time from then on
    Given a routing entry with a warm upstream that has 4 requests in flight
    When the upstream reports cold on 1 answer
    Then routing notifies the fleet that it is cold and sends no further request now

  Scenario: Batch calls are refused while interactive calls can still be queued
    Given a routing entry with one upstream of 6 slots
    Then for 250 waiting calls the table of results by criticality matches the snapshot

  Scenario: A queued call is refused once it can't start in time
    Given a routing entry with one upstream of 6 slots
    When its queue makes no progress until the deadlines have passed
    Then every waiting routing call was refused as overloaded

  Scenario: Retries stay within the budget of each depth
    Then retries at depths 0, 5 and 10 match the snapshot
    And a retry storm through 11 levels multiplies the calls by less than 1.4

  Scenario: No more than half of the upstreams are ejected
    Given a routing state with upstreams in zones a, b and c
    When every routing response is an error
    Then at most 3 of the 6 upstreams are ejected at once

  Scenario: An upstream that fails fast attracts little traffic
    Given a routing state with upstreams in zones a, b and c
    When routing responses of "a1" are immediate errors and others take 10 ms
    Then "a1" got less than 5 percent of the sends

  Scenario: Version weights apply to each call
    Then the share of calls to a moving version matches the snapshot

  Scenario: Connection budgets and subsets
    Then connection budgets and subsets match the snapshot

  Scenario: Without a lease, new and queued calls are refused as stale
    Given a routing entry with one upstream of 6 slots
    When its queue fills and its lease is lost
    Then every waiting routing call was refused as stale

  Scenario: Queued calls are refused immediately when their last upstream leaves
    Given a routing entry with one upstream of 6 slots
    When its queue fills and its upstream is set to leave
    Then every waiting routing call was refused as noUpstream

  Scenario: Calls with a quarantined fingerprint are refused until the quarantine ends
    Given a routing entry with one upstream of 6 slots
    When fingerprint "kill" is quarantined for 100 ms
    Then a call with fingerprint "kill" is refused now and sent after 100 ms

  Scenario: An upstream that drains without announcing it and rejects all requests is paused
    Given a routing state with upstreams in zones a, b and c
    When the routing upstream "a1" rejects all requests as not run and others take 10 ms
    Then "a1" got less than 2 percent of the sends
    And no routing call was refused

  Scenario: Timeouts due to short deadlines of callers eject no upstream
    Given a routing state with upstreams in zones a, b and c
    When 200 routing calls time out after 1 ms while responses take 10 ms
    Then at most 0 of the 6 upstreams are ejected at once

  Scenario: An upstream that reports cold for minutes at normal latency gets its full traffic again
    Given routing entries 1 that share a cold upstream
    Then the minute from which routing ignores its cold reports matches the snapshot
