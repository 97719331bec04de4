@entry
Feature: Malformed and ambiguous requests
  Nothing that two parsers could read differently reaches an upstream.

  Scenario: A sweep of raw requests
    Given an entry with one upstream that answers with what it received
    When each raw request of the sweep is sent on a connection of its own
    Then the answers and what reached the upstream match the snapshot
    And no request that is marked as ambiguous reached the upstream whole

  Scenario: A malformed request behind a sound one
    Given an entry with one upstream that answers with what it received
    When a sound request and a malformed one are sent at once
    Then the caller sees the sound answer whole and no byte of another
