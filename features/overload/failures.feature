Feature: A waiting request survives what happens while it waits, or is refused as not run

  Background:
    Given a waiting gateway whose two upstreams have one slot each, both taken by "x" and "y"

  Scenario: A request waits for the slot of an attempt that ends
    Given the waiting gateway gets the request "r"
    Then the waiting request "r" was sent to ""
    When the attempt of "x" ends at its upstream
    Then the waiting request "r" was sent to "a"

  Scenario: Waiting requests are sent in the order of urgency, then of arrival
    Given the waiting gateway gets the requests "late:1 first:0 second:0"
    When the attempt of "x" ends at its upstream
    Then the waiting request "first" was sent to "a"
    When the attempt of "y" ends at its upstream
    Then the waiting request "second" was sent to "b"
    And the waiting request "late" was sent to ""

  Scenario: A request that arrives while others wait doesn't take their slot
    Given the waiting gateway gets the requests "r:0"
    And the slot of upstream "b" is free by its next load report
    And the waiting gateway gets the requests "newcomer:0"
    Then the waiting request "newcomer" was sent to ""
    When 100 ms pass at the waiting gateway
    Then the waiting request "r" was sent to "b"

  Scenario: The upstreams die while a request waits
    Given the waiting gateway gets the request "r"
    When both upstreams become unreachable
    And 100 ms pass at the waiting gateway
    Then the waiting request "r" is refused as "noUpstream", and was not sent

  Scenario: The caller leaves while its request waits
    Given the waiting gateway gets the requests "r:0 next:0"
    When the caller of "r" leaves the waiting gateway
    Then 1 request waits at the waiting gateway
    When the attempt of "x" ends at its upstream
    Then the waiting request "r" was sent to ""
    And the waiting request "next" was sent to "a"
    And 0 requests wait at the waiting gateway

  Scenario: The gateway stops while a request waits
    Given the waiting gateway gets the request "r"
    When the waiting gateway stops
    Then the waiting request "r" is refused as "stopping", and was not sent
    Given the waiting gateway gets the request "s"
    Then the waiting request "s" is refused as "stopping", and was not sent

  Scenario: A zone is evacuated while a request waits
    Given the waiting gateway gets the request "r"
    When the zone "a" is evacuated at the waiting gateway
    And the attempt of "x" ends at its upstream
    And 100 ms pass at the waiting gateway
    Then the waiting request "r" was sent to ""
    When the attempt of "y" ends at its upstream
    Then the waiting request "r" was sent to "b"

  Scenario: Requests like the waiting one turn out to crash upstreams
    Given the waiting gateway gets the request "r"
    When requests are quarantined at the waiting gateway
    And the attempt of "x" ends at its upstream
    Then the waiting request "r" is refused as "quarantined", and was not sent

  Scenario: The key or the route of the request is removed while it waits
    Given the waiting gateway gets the request "r"
    When the key of its caller is revoked at the waiting gateway
    And the attempt of "x" ends at its upstream
    Then the waiting request "r" is refused as "stale", and was not sent

  Scenario: No slot comes free, against expectation
    Given the waiting gateway gets the request "r"
    When 4000 ms pass at the waiting gateway
    Then the waiting request "r" is refused as "overloaded", and was not sent
    And the waiting request "r" was refused within 1500 ms, and told to return within a third of its time

  Scenario: An upstream rejects the request, and the retry budget has a retry left
    Given the waiting gateway has 1 retry left
    When both upstreams reject "x"
    Then the waiting request "x" has no answer
    When the attempt of "y" ends at its upstream
    And 100 ms pass at the waiting gateway
    Then the waiting request "x" was sent again

  Scenario: An upstream rejects the request, and the retry budget is used up
    Given the waiting gateway has 0 retries left
    When both upstreams reject "x"
    Then the waiting request "x" is refused as "turnedAway"
