Feature: Model of the claim protocol
  The model checker searches every state of a small specification of claims and view changes.

  Scenario: No two holders are granted a key
    Then every state of the claim model with 2 epochs is searched without an error

  Scenario Outline: The checker finds the fault that <fault>
    Then the claim model with fault <number> in 2 epochs has an error

    Examples:
      | number | fault                                                   |
      | 1      | a process reports without leaving the earlier epoch     |
      | 2      | a process answers without fetching earlier claims       |
      | 4      | a holder counts claimants that recorded in two epochs   |
      | 5      | the members heard need not be a majority of the basis   |
