Feature: Leases and confirmations
  A revision is reported as in force everywhere only once no entry can act on an earlier one.

  Scenario: Random partitions, freezes, restarts and changes of leader
    When seeded sites run for 60 s each under random faults and concurrent commands
    Then no distribution entry acted on a revision older than the one in force
    And no distribution entry reverted to an earlier revision, even after a restart without state
    And once the faults end every distribution entry has a valid lease and the newest revision is in force
    And faults of every kind occurred in the distribution runs

  Scenario Outline: The first configuration after a start: <case>
    Given a distribution entry that has just started and sent one request
    When it is sent a configuration <case>
    Then the distribution entry has accepted it: <accepted>

    Examples:
      | case                                          | accepted |
      | in answer to its question, with a lease       | yes      |
      | in answer to its question, without a lease    | no       |
      | unasked, by a member that may be isolated     | no       |
      | in answer to a question of its earlier self   | no       |

  Scenario: A process that was paused checks its lease again
    Given a distribution entry with a lease
    When it is paused for longer than the lease
    Then the distribution entry takes no new work until a poll sent after the pause is granted

  Scenario: Deltas between configurations
    When deltas between random configurations are encoded, decoded and applied
    Then every delta yields the configuration that it was computed for
