Feature: Leases and confirmations
  A revision is called in force everywhere only once no entry can act on an earlier one.

  Scenario: Random cuts, freezes, restarts and changes of leader
    When seeded sites run for 60 s each under random faults and racing commands
    Then no distribution entry acted on a revision older than the one in force
    And no distribution entry went back, also after its restart from nothing
    And once the faults end every distribution entry is fresh and all is in force
    And the distribution runs saw faults of every kind

  Scenario: Deltas between configurations
    When random configurations are turned into each other by deltas over the wire
    Then every delta gives the configuration that it was made from
