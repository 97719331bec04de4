Feature: Leases and confirmations
  A revision is called in force everywhere only once no entry can act on an earlier one.

  Scenario: Random cuts, freezes, restarts and changes of leader
    When seeded sites run for 60 s each under random faults and racing commands
    Then no distribution entry acted on a revision older than the one in force
    And no distribution entry went back, also after its restart from nothing
    And once the faults end every distribution entry is fresh and all is in force
    And the distribution runs saw faults of every kind

  Scenario Outline: The first configuration after a start: <case>
    Given a distribution entry that has just started and asked once
    When it is sent a configuration <case>
    Then the distribution entry has taken it: <taken>

    Examples:
      | case                                          | taken |
      | in answer to its question, with a lease       | yes   |
      | in answer to its question, without a lease    | no    |
      | unasked, by a member that may be isolated     | no    |
      | in answer to a question of its earlier self   | no    |

  Scenario: A process that was paused looks at its lease again
    Given a distribution entry with a lease
    When it is paused for longer than the lease
    Then the distribution entry takes no new work until a poll sent after the pause is granted

  Scenario: Deltas between configurations
    When random configurations are turned into each other by deltas over the wire
    Then every delta gives the configuration that it was made from
