Feature: A gateway's log lines tell the catalog that it decided by

  Scenario: A line about a decision tells the index, the version, the age and the followed control member
    Given a gateway that follows the fake control member "10.1.0.30:7201", with routes of version 7
    When that member's latest healthy answer is 1234 ms old, and it is reported as lost
    And a request for a path without a route is sent to the following gateway
    And a request for a known path that has no upstream left is sent to the following gateway
    Then the following gateway's lines "control member lost, request refused, catalog changed, refused" tell index, version 7, age and member
    And the following gateway tells an age of its state of 1234 ms
