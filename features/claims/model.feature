Feature: Model of the claim protocol
  The model checker searches every state of a small specification of claims and view changes.

  Scenario: No two holders are granted a key
    Then every state of the claim model with 2 epochs is searched without an error

  Scenario Outline: The checker finds the fault that <fault>
    Then the claim model with fault <number> in <epochs> epochs has an error

    Examples:
      | number | epochs | fault                                                 |
      | 1      | 2      | a process reports without leaving the earlier epoch   |
      | 2      | 2      | a process answers without fetching earlier claims     |
      | 3      | 3      | open epochs are not looked at                         |
      | 4      | 2      | a holder counts claimants that recorded in two epochs |
      | 5      | 2      | the members heard need not be a majority of the basis |
