Feature: The model of the consensus protocol
  The checker searches every state within the bounds. It finds an error if one mechanism is removed.

  Scenario Outline: The model has no errors with <members> members, terms up to <terms>, logs up to <entries>
    When the model checker searches the consensus model with <members> members, <terms> terms, <entries> entries, changes <changes> and fault 0
    Then every state of the consensus model was searched without an error

    Examples:
      | members | terms | entries | changes |
      | 3       | 3     | 2       | 0       |
      | 3       | 2     | 3       | 1       |
      | 4       | 3     | 2       | 1       |

  Scenario Outline: The checker finds a member that <fault description>
    When the model checker searches the consensus model with <members> members, <terms> terms, <entries> entries, changes <changes> and fault <fault>
    Then the model checker found an error in the consensus model

    Examples:
      | fault | members | terms | entries | changes | fault description                              |
      | 1     | 3       | 2     | 2       | 0       | acknowledges what is not durable               |
      | 2     | 3       | 4     | 2       | 0       | commits older terms by counting replicas       |
      | 3     | 3       | 2     | 2       | 0       | votes for a less complete log                  |
      | 4     | 3       | 2     | 2       | 0       | forgets its vote                               |
      | 5     | 4       | 3     | 2       | 1       | changes members before committing its own term |
      | 6     | 3       | 2     | 3       | 1       | changes members while a change is pending      |
      | 7     | 3       | 2     | 2       | 0       | keeps its identity after losing its disk       |

  Scenario: The model has no errors when half of four members lose their disks
    When the model checker searches the consensus model with 4 members, 2 terms and 2 entries, of which 2 lose their disks, and fault 0
    Then every state of the consensus model was searched without an error

  Scenario: The checker finds that half of the members elect a leader although no other one lost its disk
    When the model checker searches the consensus model with 4 members, 2 terms and 2 entries, of which 2 lose their disks, and fault 8
    Then the model checker found an error in the consensus model
