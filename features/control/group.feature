Feature: A group of control members
  What a majority accepted stays accepted, whatever single member is lost.

  Scenario Outline: A group of <size> accepts commands and reads them back
    Given a control group of <size>
    When the control group accepts 5 numbers
    Then a current read at the control leader returns every accepted number
    And every control member applies every accepted number

    Examples:
      | size |
      | 1    |
      | 3    |

  Scenario: The leader hands over when it stops
    Given a control group of 3
    When the control group accepts 3 numbers
    And the control leader stops gracefully
    And the control group accepts 3 numbers
    Then every control member applies every accepted number

  Scenario: A disk is lost and replaced, then another one is lost
    Given a control group of 3 that compacts after 4 entries
    When the control group accepts 12 numbers
    And control member 0 loses its disk and joins again
    And the control group accepts 2 numbers
    And control member 1 loses its disk
    And the control group accepts 2 numbers
    Then every control member applies every accepted number
    When control member 1 joins again
    And control member 2 loses its disk
    And the control group accepts 1 numbers
    Then every control member applies every accepted number

  Scenario: All members restart at once from snapshot and log
    Given a control group of 3 that compacts after 4 entries
    When the control group accepts 14 numbers
    And every control member stops at once and starts again
    And the control group accepts 1 numbers
    Then every control member applies every accepted number

  Scenario: A member is added and the leader's fellow is removed
    Given a control group of 4 of which 3 found it
    When the control group accepts 2 numbers
    And control member 3 is added
    And the control group accepts 2 numbers
    And control member 0 is removed
    And the control group accepts 2 numbers
    Then the control voters are members 1, 2 and 3
    And the control voters apply every accepted number

  Scenario: A member that lost its disk and was not told to join does not vote
    Given a control group of 3
    When the control group accepts 1 numbers
    And control member 0 loses its disk
    And control member 0 starts without joining
    Then control member 0 says that its folder is empty but the group exists
    And control member 0 is no voter under its new identity

  Scenario: An isolated control leader accepts nothing and answers no read
    Given a control group of 3
    When the control group accepts 1 numbers
    And both other control members stop
    Then the control leader steps down without accepting or answering
