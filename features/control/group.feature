Feature: A group of control members
  A command that a majority accepted survives the loss of any single member.

  Scenario Outline: A group of <size> accepts commands and reads them back
    Given a control group of <size>
    When the control group accepts 5 numbers
    Then a linearizable read at the control leader returns every accepted number
    And every control member applies every accepted number

    Examples:
      | size |
      | 1    |
      | 3    |

  Scenario: The leader transfers its leadership when it stops gracefully
    Given a control group of 3
    When the control group accepts 3 numbers
    And the control leader stops gracefully
    And the control group accepts 3 numbers
    Then every control member applies every accepted number

  Scenario: A member loses its disk and joins again, then other members lose theirs
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

  Scenario: A member that lost its disk does not count as a voter before the group has given it a vote
    Given a control group of 3
    When the control group accepts 2 numbers
    And a control follower loses its disk and joins again on a disk that does not sync
    Then that control follower follows the leader but is no voter
    When the disk of that control follower syncs again
    Then that control follower becomes a voter

  Scenario: All members restart at once from snapshot and log
    Given a control group of 3 that compacts after 4 entries
    When the control group accepts 14 numbers
    And all control members stop at the same time and start again
    And the control group accepts 1 numbers
    Then every control member applies every accepted number

  Scenario: Members that took over a snapshot elect a leader after all members restart at once
    Given a control group of 3 that compacts after 260 entries
    When the control group accepts 270 numbers
    And control member 0 loses its disk and joins again
    And control member 1 loses its disk and joins again
    And all control members stop at the same time and start again
    And the control group accepts 1 numbers
    Then every control member applies every accepted number
    And no control member reports damage

  Scenario: A member is added and another one is removed
    Given a control group of 4 founded by the first 3
    When the control group accepts 2 numbers
    And control member 3 is added
    And the control group accepts 2 numbers
    And control member 0 is removed
    And the control group accepts 2 numbers
    Then the control voters are members 1, 2 and 3
    And the control voters apply every accepted number

  Scenario: A process that knows only members that are gone joins once it is told the present ones
    Given a control group of 4 founded by the first 3
    When control member 3 starts, but knows only an address where nobody answers
    Then within 1500 ms the control leader gets no request to join
    When control member 3 is told the present members
    And control member 3 asks to join and is added
    Then the control voters apply every accepted number

  Scenario: A member that lost its disk and starts without joining does not vote
    Given a control group of 3
    When the control group accepts 1 numbers
    And control member 0 loses its disk
    And control member 0 starts without joining
    Then control member 0 reports that its folder is empty but the group exists
    And control member 0 is not a voter under its new identity

  Scenario: An isolated control leader accepts no commands and answers no reads
    Given a control group of 3
    When the control group accepts 1 numbers
    And both other control members stop
    Then the control leader steps down without accepting or answering

  Scenario Outline: A group of <size> and a member that joins it accept numbers after their disks were full in turn
    When a control group of <size> and one that joins it accept numbers while their disks are full in turn from the start
    Then that control group accepts a number within 5 seconds
    And every member of that control group votes and holds each accepted number

    Examples:
      | size |
      | 3    |
      | 4    |
      | 5    |
