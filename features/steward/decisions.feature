Feature: The steward on the leader advances traffic moves and replaces members

  Scenario Outline: A good version gets all traffic within its time
    Given a move that lasts 14000 ms, at share <share>
    When <elapsed> ms have passed and the new version does as well as the old one
    Then the steward decides "<step>"

    Examples:
      | share | elapsed | step           |
      | 0     | 100     | running 0.03   |
      | 0.03  | 1000    | nothing        |
      | 0.03  | 5000    | running 0.05   |
      | 0.05  | 9000    | nothing        |
      | 0.03  | 11300   | running 0.3    |
      | 0.05  | 12100   | running 0.3    |
      | 0.3   | 11400   | nothing        |
      | 0.3   | 12000   | running 1      |
      | 1     | 13100   | nothing        |
      | 1     | 13650   | nothing        |
      | 1     | 13750   | completed 1    |
      | 0.5   | 14100   | rolledBack 0   |

  Scenario Outline: A version gets no larger share by the clock alone
    Given a move that lasts 14000 ms, at share <share>
    When <elapsed> ms have passed and no evidence arrived
    Then the steward decides "<step>"

    Examples:
      | share | elapsed | step         |
      | 0.03  | 11300   | nothing      |
      | 0.3   | 12000   | nothing      |
      | 1     | 13500   | nothing      |
      | 1     | 14100   | rolledBack 0 |
      | 0.03  | 14100   | rolledBack 0 |

  Scenario Outline: Few requests suffice where a service gets few, but not to a leader that has just been elected
    Given a move that lasts 14000 ms, at share 0.03
    When 11300 ms have passed, and in the last <watched> ms the leader has counted <attempts> attempts, <new> of them at the new version
    Then the steward decides "<step>"

    Examples:
      | watched | attempts | new | step         |
      | 10400   | 50       | 2   | running 0.3  |
      | 10400   | 200      | 1   | nothing      |
      | 1000    | 50       | 2   | nothing      |
      | 1000    | 200      | 8   | running 0.3  |

  Scenario Outline: A bad version is rolled back after few requests, and a fault of the whole service is not counted against it
    Given a move that lasts 14000 ms, at share 0.03
    When of <new> requests on the new version <bad> are "<how>", and of 500 on the old one <oldBad>
    Then the steward decides "<step>"

    Examples:
      | new | bad | how    | oldBad | step         |
      | 20  | 8   | failed | 2      | rolledBack 0 |
      | 50  | 25  | failed | 2      | rolledBack 0 |
      | 60  | 30  | slow   | 10     | rolledBack 0 |
      | 50  | 15  | failed | 150    | nothing      |
      | 50  | 1   | failed | 2      | nothing      |

  Scenario Outline: The share stays within the capacity of the new version's upstreams
    Given a move beside <old> slots of the old version and <own> of the new one
    Then the new version has capacity for <share> of the traffic

    Examples:
      | old | own | share |
      | 60  | 0   | 0     |
      | 60  | 18  | 0.5   |
      | 60  | 60  | 1     |
      | 0   | 6   | 1     |

  # A question mark stands for a member that doesn't vote.
  Scenario Outline: Planned membership changes
    Given control members "<members>" with silences "<silences>"
    When "<waiting>" ask to join
    Then the steward plans the membership change "<change>"

    Examples:
      | members     | silences               | waiting | change   |
      | a b c       | b 100, c 100           | d       | add d    |
      | a b c       | b 100, c 100           |         |          |
      | a b c       | b 100, c 99999         |         |          |
      | a b c       | b 100, c 99999         | d       | add d    |
      | a b c       | b 100, c 100           | c       |          |
      | a b c d     | b 100, c 3000, d 100   |         |          |
      | a b c d     | b 100, c 16000, d 100  |         |          |
      | a b c d     | b 2600, c 3000, d 100  |         |          |
      | a b c d?    | b 100, c 16000, d 100  |         |          |
      | a b c? d    | b 100, c 14900, d 100  |         |          |
      | a b c? d    | b 100, c 15100, d 100  |         | remove c |
      | a b c? d    | b 100, c 15100, d 100  | e       | add e    |
      | a b c? d e? | c 15100, d 100, e 15200 |        | remove e |

    Examples: seven members that answer are enough, and twelve in all
      | members                                | silences        | waiting | change   |
      | a b c d e f g                          | b 100, c 100    | h       |          |
      | a b c d e f g                          | b 100, c 2400   | h       |          |
      | a b c d e f g                          | b 100, c 7000   | h       | add h    |
      | a b c d e f g?                         | b 100, c 9000   | h       | add h    |
      | a b c d e f g h?                       | b 100, h 9000   | i       |          |
      | a b c d e f g h?                       | b 100, h 15100  | i       | remove h |
      | a b c d? e? f? g? h? i? j? k? l?       | c 3000, d 2600, e 2700, f 2800, g 3100, h 2600, i 2600 | m | remove g |
      | a b c d? e? f? g? h? i? j? k? l?       | c 3000, d 2600, e 2700, f 2800, g 3100, h 2600, i 2600 |   |          |
      | a b c d? e? f? g? h? i? j? k? l?       | c 3000, d 2600, e 2700, f 2800, g 3100, h 2400         | m |          |

  Scenario Outline: A steward that is not the leader redirects its callers to the leader it knows
    Given a steward with role "<role>", known leader "<leader>" and reported leader "<reported>"
    When the steward receives an order and a read
    Then both are answered "<answer>"

    Examples:
      | role     | leader | reported | answer      |
      | follower | a:1    |          | elsewhere a:1 |
      | newborn  |        | b:1      | elsewhere b:1 |
      | newborn  |        |          | unavailable |

  Scenario Outline: A jump of Unix time doesn't end a traffic move
    When the leader receives an order for a move of 14000 ms, and its Unix time jumps by <jump> ms
    Then the steward proposes that the move is "running"

    Examples:
      | jump   |
      | 0      |
      | 15000  |
      | -15000 |
