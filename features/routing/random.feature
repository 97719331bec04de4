Feature: Routing invariants hold in randomized runs

  Scenario: Several entries share upstreams during faults and configuration changes
    When randomized routing fleets run
    Then every kind of routing result occurred
