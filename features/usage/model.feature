Feature: Model of the usage reports
  The model checker explores the whole state space of a small model of one window, two members and the platform.

  Scenario: Reports of a window never differ, and tokens are used by one member
    Then the full state space of the usage model has no error

  Scenario Outline: The checker detects the injected usage fault that <fault>
    Then the usage model with fault <number> has an error

    Examples:
      | number | fault                                                    |
      | 1      | a report is sent from counts that aren't sealed          |
      | 2      | a command is applied although its batches are committed  |
      | 3      | a holder calls with the latest token of another          |
      | 4      | a holder keeps a token that was refused                  |
      | 5      | a late batch is added to a sealed window                 |
