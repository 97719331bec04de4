Feature: Requests are turned away before queues make every answer late

  Scenario: A replay of a burst of 1.4 times what the upstreams bear
    Given 12 upstreams with 6 slots each, and 70 ms of work a request
    When requests for 1.4 times their slots arrive for 5000 ms, and answers are late after 200 ms
    Then at least 80 in 100 of what they can run is answered in time
    And at most 20 in 100 of what they ran was late
