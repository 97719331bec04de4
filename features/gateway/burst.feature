Feature: The gateway refuses requests before queues make every answer late

  Scenario: Replay of a burst of 1.4 times the upstreams' capacity
    Given 12 upstreams with 6 slots each, and 70 ms of work per request
    When requests for 1.4 times their slots arrive for 5000 ms, and answers are late after 200 ms
    Then at least 80 in 100 of the requests within their capacity are answered in time
    And at most 20 in 100 of the requests that they ran were late
