Feature: Routing chooses an upstream

  Scenario: No new work goes to a zone that is out or to a leaving upstream
    Given a routing state with upstreams in zones a, b and c
    When routing zone "a" is out and upstream "b1" is leaving
    And 200 calls arrive for routing
    Then routing sent work only to "b2,c1,c2"

  Scenario: Own requests in flight steer away from a busy upstream
    Given a routing state with upstreams in zones a, b and c
    When 12 calls arrive for routing and none is answered
    Then routing sent at most 4 calls to any upstream

  Scenario: A call without any usable upstream is refused
    Given a routing state with upstreams in zones a, b and c
    When routing zones "a,b,c" are out
    And 1 calls arrive for routing
    Then the last routing effect matches the snapshot
