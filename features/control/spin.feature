Feature: Verdicts of the model checker
  A search counts only when it was complete; the exit code of the checker tells nothing.

  Scenario Outline: A search of the counter model with <condition>
    Given the counter model with fault <fault>
    When the model checker searches it to depth <depth> within <memory> MB
    Then the counter search is <verdict>

    Examples:
      | condition         | fault | depth | memory | verdict    |
      | no fault          | 0     | 1000  | 512    | sound      |
      | a lost update     | 1     | 1000  | 512    | faulty     |
      | too little depth  | 0     | 3     | 512    | incomplete |
      | too little memory | 0     | 1000  | 1      | incomplete |
