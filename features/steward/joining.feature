Feature: The leader admits processes that still ask to join

  # Requests never expired: a process that had gone was admitted before one that ran.
  Scenario: A process that stopped asking is admitted before one that asks
    Given a leading steward that "10.1.0.9:7200" asked to join 2100 ms ago
    When "10.1.0.4:7200" asks the leading steward to join
    Then the leading steward admits "10.1.0.4:7200" alone
