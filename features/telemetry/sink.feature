Feature: Logs never hold a process up

  Scenario: Lines beyond the rate are counted and told of
    Given a log sink of 10 lines a second
    When 50 lines are logged at once, and one more a second later
    Then the log holds 12 lines, and one says that 40 were dropped

  Scenario: A reader that takes nothing costs bounded memory
    Given a log sink of 100000 lines a second
    When its reader takes nothing while 20000 lines of 100 bytes are logged
    Then at most 400000 bytes wait and the rest is counted

  Scenario: A reader that takes part of the bytes gets every line whole
    Given a log sink of 1000 lines a second
    When its reader takes 7 bytes at a time while 20 lines are logged
    Then the reader has every line whole and in order
