Feature: Logging never blocks a process

  Scenario: Lines above the rate limit are counted and reported
    Given a log sink limited to 10 lines per second
    When 50 lines are logged at once and another one a second later
    Then the log holds 12 lines, and one reports that 40 were dropped

  Scenario: A blocked reader uses bounded memory
    Given a log sink limited to 100000 lines per second
    When its reader reads nothing while 20000 lines of 100 bytes are logged
    Then at most 400000 bytes are buffered and the other lines are counted as dropped

  Scenario: A reader that reads a few bytes at a time gets every line complete
    Given a log sink limited to 1000 lines per second
    When its reader reads 7 bytes at a time while 20 lines are logged
    Then the reader has received every line complete and in order
