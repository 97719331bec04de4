Feature: What a stop does to callers' connections and requests

  Scenario Outline: A connection in a stop of 6000 ms
    Then <at> ms after SIGTERM a connection that is <phase> gets the decision "<decision>"

    Examples:
      | phase   | at   | decision |
      | unused  | 0    | keep     |
      | unused  | 3700 | keep     |
      | unused  | 4799 | keep     |
      | unused  | 4800 | close    |
      | reading | 4800 | keep     |
      | reading | 5520 | close    |
      | serving | 5519 | keep     |
      | serving | 5520 | cutOff   |
      | sending | 5519 | keep     |
      | sending | 5520 | cutOff   |
      | ending  | 5519 | keep     |
      | ending  | 5520 | close    |
