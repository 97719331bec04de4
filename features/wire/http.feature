Feature: Small HTTP calls to the processes

  Scenario Outline: Callers send <bytes> without end to a listener that reads bodies
    Given a listener that takes bodies of 1 MB, and 2 MB of all calls
    When 12 callers send <bytes> without end
    Then within 3000 ms each of their connections is closed, and those that read got 413 or 503
    And a call with a body of 1 MB is answered with it

    Examples:
      | bytes                   |
      | a body with a length    |
      | a body in chunks        |

  Scenario: Callers send a body without end to a listener that reads none
    Given a listener that takes no bodies
    When 12 callers send a body in chunks without end
    Then within 3000 ms each of their connections is closed, and those that read got 200

  Scenario: A body that is too large is refused, and its sender reads the reply
    Given a listener that takes bodies of 1 MB, and 2 MB of all calls
    Then a call with a body of 3 MB is answered with 413
    And a call with a body of 1 MB is answered with it

  Scenario: Callers that leave in the middle of a body hold no room
    Given a listener that takes bodies of 1 MB, and 2 MB of all calls
    When 12 callers send half a body of 1 MB and leave, one after the other
    Then a call with a body of 1 MB is answered with it
