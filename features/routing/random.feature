Feature: Routing keeps its promises in random runs

  Scenario: Several entries share upstreams through faults and changes
    When random routing fleets run
    Then every kind of routing ending was seen
