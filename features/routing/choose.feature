Feature: Routing chooses an upstream

  Scenario: Zones that are out and leaving upstreams get no new requests
    Given a routing state with upstreams in zones a, b and c
    When routing zone "a" is out and upstream "b1" is leaving
    And 200 calls arrive for routing
    Then routing sent requests only to "b2,c1,c2"

  Scenario: An entry avoids upstreams on which it has many requests in flight
    Given a routing state with upstreams in zones a, b and c
    When 12 calls arrive for routing and none is answered
    Then routing sent at most 4 calls to any upstream

  Scenario: A call without any usable upstream is refused
    Given a routing state with upstreams in zones a, b and c
    When routing zones "a,b,c" are out
    And 1 calls arrive for routing
    Then the last routing effect matches the snapshot
