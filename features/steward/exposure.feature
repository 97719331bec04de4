Feature: A bad version gets few requests in a move that takes seconds
  A bad version may get a tenth of the requests and 50 more between the order and its deadline.

  Scenario Outline: A version that is <fault>, at <rate> requests a second
    When 20 seeded moves of 14000 ms to a version that is "<fault>" are simulated at <rate> requests a second
    Then a version that is bad gets at most 0.1 of the requests and 50 more, and none completes
    And at least 19 of 20 moves to a good version complete

    Examples:
      | fault                                    | rate |
      | good                                     | 90   |
      | good                                     | 20   |
      | good while the leader changes at 2000    | 90   |
      | failing from 0                           | 90   |
      | failing from 5000                        | 90   |
      | failing from 8000                        | 90   |
      | failing from 10500                       | 90   |
      | failing from 12100                       | 90   |
      | failing above 0.2                        | 90   |
      | failing above 0.9                        | 90   |
      | failing above 0.9                        | 400  |
      | hanging from 0                           | 90   |
      | hanging from 8000                        | 90   |
      | slow from 0                              | 90   |
      | slow from 8000                           | 90   |
      | failing from 0 while the leader changes at 500   | 90 |
      | failing from 0 while the leader changes at 10000 | 90 |
      | failing from 9500 while the leader changes at 9600 | 90 |
      | failing from 0 while evidence stops at 0  | 90   |
      | failing from 8000 while evidence stops at 7900 | 90 |

  Scenario Outline: A version that is <fault>, late in its move
    When 20 seeded moves of 16000 ms to a version that is "<fault>" are simulated at 80 requests a second
    Then a version that is bad gets at most 0.1 of the requests and 50 more, and none completes
    And at least 19 of 20 moves to a good version complete

    Examples: some upstreams of both versions are ill
      | fault                                                                           |
      | good while some upstreams are ill between 3000 and 12000                        |

    Examples: the fault shows only at the larger shares
      | fault              |
      | failing from 13600 |
      | failing from 14200 |
      | failing from 14500 |
      | failing above 0.9  |

  @known-red
  Scenario: A version turns bad in part while upstreams of both versions fall ill
    When 20 seeded moves of 16000 ms to a version that is "failing in 0.3 of the requests from 12500 while some upstreams are ill between 12000 and 18000" are simulated at 80 requests a second
    Then a version that is bad gets at most 0.1 of the requests and 50 more, and none completes

  Scenario Outline: A version that is <fault>, seen while requests to it still run
    When 20 seeded moves of 16000 ms to a version that is "<fault>" are simulated with prompt evidence
    Then a version that is bad gets at most 0.1 of the requests and 50 more, and none completes
    And at least 19 of 20 moves to a good version complete

    Examples:
      | fault               |
      | good                |
      | slow from 14200     |
      | hanging from 14200  |
      | slow from 14700     |
      | failing from 15000  |
