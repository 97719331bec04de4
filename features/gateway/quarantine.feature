Feature: A gateway refuses requests that crash upstreams

  Scenario: A request that crashes three upstreams is refused, then tried one at a time
    Given a gateway that knows 5 upstreams
    When a request crashes upstreams 1 2 3
    Then it is refused for 1000 to 2500 ms
    And a request with another path is not refused
    When 2600 ms pass in the gateway
    Then it is not refused, but for a second one beside it
    When a request crashes upstreams 4
    Then it is refused for 59000 to 62000 ms

  Scenario: A lost connection to an upstream that runs on counts for nothing
    Given a gateway that knows 5 upstreams
    When a request loses connections to upstreams 1 2 3 4 5, which run on
    Then it is not refused, and not suspected

  Scenario: The first success after a crash is told, and no later one
    Given a gateway that knows 5 upstreams
    When a request crashes upstreams 1
    And requests like it succeed 20 times
    Then 1 success was told, and it is not suspected

  Scenario: A suspected request waits for the check of an upstream before it is sent again, others don't
    Given a gateway that knows 5 upstreams
    When a request crashes upstreams 1
    Then its next retry waits for the check, and that of another request doesn't
