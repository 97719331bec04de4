Feature: Results of the model checker
  Only a complete search counts as a proof. The exit code of the checker does not show the result.

  Scenario Outline: A search of the counter model with <condition>
    Given the counter model with fault <fault>
    When the model checker searches it to depth <depth> within <memory> MB
    Then the counter search <result>

    Examples:
      | condition         | fault | depth | memory | result                   |
      | no fault          | 0     | 1000  | 512    | completes without errors |
      | a lost update     | 1     | 1000  | 512    | finds an error           |
      | too little depth  | 0     | 3     | 512    | ends incomplete          |
      | too little memory | 0     | 1000  | 1      | ends incomplete          |
