Feature: A steward that the group replaced while it was away begins anew

  # A voter that is gone counts in majorities until it has lost its vote.
  Scenario: A steward is paused until the group has replaced it, and joins again in the same process
    Given the platform's site serves two services
    When the third steward is paused and a fourth one starts
    Then within 6000 ms the stewards that run count 4 members, of which 3 vote
    And within 20000 ms the stewards that run count 3 members, of which 3 vote
    When the third steward runs on
    Then within 15000 ms the stewards that run count 4 members, of which 4 vote
    And the third steward's process deleted its data and runs
    When another configuration is sent to the stewards after the third one joined again
    Then within 2000 ms all four stewards hold that configuration
