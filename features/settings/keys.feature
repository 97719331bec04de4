Feature: Each key of the settings is read in full, or refused by its name
  A key without a value was once read as true, and a time as the number of a port.

  Scenario Outline: Settings of <roles>
    Given valid settings of the role "<roles>" with every key
    Then each key that is dropped is refused by its name, unless it has a default or may be left out
    And each key without a value, with two values or with one of another kind is refused by its name

    Examples:
      | roles          |
      | gateway        |
      | steward        |
      | entry, control |
