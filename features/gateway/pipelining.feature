Feature: Requests that a caller sends ahead are answered in order, and in turns

  Scenario Outline: <count> look-ups behind an order, each of which is <served>
    Given a caller's pipelined connection to a gateway where orders take 50 ms, and look-ups are <served>
    When an order and <count> look-ups are sent at once
    Then all of them are answered in order, and the gateway's other work had at least <turns> turns meanwhile
    And at most 16 requests of the connection were served at a time

    Examples:
      | count | served           | turns |
      | 8     | answered at once | 1     |
      | 600   | answered at once | 4     |
      | 5000  | answered at once | 40    |
      | 5000  | answered later   | 40    |
