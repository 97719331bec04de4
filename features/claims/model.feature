Feature: Model of the claim protocol
  The model checker explores the whole state space of a small model of claims and view changes.

  Scenario: No two holders are granted a key
    Then the full state space of the claim model with 2 epochs has no error

  Scenario Outline: The checker detects the injected fault that <fault>
    Then the claim model with fault <number> in <epochs> epochs has an error

    Examples:
      | number | epochs | fault                                                         |
      | 1      | 2      | a process reports without leaving the earlier epoch           |
      | 2      | 2      | a process answers without fetching earlier claims             |
      | 3      | 3      | open epochs are ignored                                       |
      | 4      | 2      | a holder counts claimants that recorded in two epochs         |
      | 5      | 2      | the members that reported need not be a majority of the basis |
