Feature: The first start of a site ends, although control processes are killed in it

  # Guards against Fault (review/7): the others waited for ever for a founder that came back when the start was no longer
  # the first one.
  Scenario Outline: A control process is killed <delay> ms after it listens, and comes back in what isn't a first start
    Given a site that starts for the first time, whose <which> steward is killed <delay> ms after it listens
    When it is back 1000 ms later, <folder>
    Then an order is acknowledged within 15000 ms, and all 3 stewards belong to one group within 10000 ms more

    Examples:
      | which  | delay | folder             |
      | first  | 0     | with its folder    |
      | second | 0     | with its folder    |
      | first  | 60    | with its folder    |
      | first  | 120   | with its folder    |
      | first  | 250   | with its folder    |
      | second | 250   | with its folder    |
      | first  | 0     | with an empty disk |
      | first  | 120   | with an empty disk |
      | first  | 250   | with an empty disk |
      | first  | 500   | with an empty disk |

  Scenario: Two control processes are killed in turn in the first start
    Given a site that starts for the first time, whose first steward is killed 0 ms after it listens
    When it is back 300 ms later, with its folder
    And then the second steward is killed and back 300 ms later
    Then an order is acknowledged within 15000 ms, and all 3 stewards belong to one group within 10000 ms more
