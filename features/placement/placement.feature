Feature: Gateways place requests by what upstreams reject and lose

  Scenario Outline: Share of the requests that goes to upstreams which reject although they have free slots
    Given a placement where <requests> requests arrive a second, and upstreams run <accepting> without and <rejecting> with rejections
    Then the placement sends the share <share> to those that reject

    Examples:
      | requests | accepting | rejecting | share |
      | 100      | 200       | 200       | 0     |
      | 100      | 40        | 160       | 0.6   |
      | 1000     | 20        | 60        | 0.75  |
      | 100      | 90        | 1         | 0.01  |
      | unknown  | 20        | 60        | 0.75  |

  Scenario Outline: Only rejections despite free slots are counted, and they fade
    Given a placement record with <running> requests in its 6 slots
    When 20 of its 40 requests end with "<outcome>"
    Then the placement rates it as <before>, and as <later> 12000 ms later

    Examples:
      | running | outcome     | before    | later     |
      | 2       | rejected    | rejecting | accepting |
      | 6       | rejected    | accepting | accepting |
      | 2       | misdirected | accepting | accepting |
      | 2       | answered    | accepting | accepting |

  Scenario: Rejections reach another gateway with the load reports, in at most 5 bytes of a row
    Given two placement gateways that gossip on loopback
    When one of them counts 9 rejections of an upstream
    Then within 1000 ms the other one counts 9 rejections of it
    And a placement row grows by at most 5 bytes

  Scenario Outline: While most upstreams reject, more requests are served and fewer are rejected
    Given a placement replay of 94 upstreams with 3 slots at load <load>, of which 76 reject a share of 0.55 for 8500 ms
    When it runs with and without the placement on the seeds 1 to 3
    Then the placement serves at least <more> more requests of 1000 in target
    And the placement has at most <rejected> as many rejected attempts
    And the placement fails at most <failed> more requests of 1000

    Examples:
      | load | more | rejected | failed |
      | 0.3  | 20   | 0.9      | 3      |
      | 0.5  | 20   | 0.95     | 3      |
      | 0.7  | 8    | 0.98     | 5      |

  Scenario Outline: Requests that may wait in upstreams which reset connections when they are full
    Given placement losses at upstreams "<losses>"
    Then the placement lets <waiting> requests wait in an upstream at <at> ms

    Examples: a loss is an upstream, the requests that waited there and the instant
      | losses                         | waiting       | at    |
      | 1 5 0                          | any number of | 1     |
      | 1 5 0, 1 4 10                  | any number of | 11    |
      | 1 5 0, 2 -1 10                 | any number of | 11    |
      | 1 5 0, 2 4 20000               | any number of | 20001 |
      | 1 5 0, 2 4 10                  | 4             | 11    |
      | 1 5 0, 2 4 10, 3 1 20, 4 3 30  | 1             | 31    |
      | 1 5 0, 2 4 0                   | 6             | 6100  |
      | 1 5 0, 2 4 0                   | any number of | 61000 |

  Scenario Outline: A request that must not run twice avoids upstreams that may lose it
    Then a placement of an upload with <occupancy> requests in 2 slots, a report <age> ms old and <rate> requests a second is <result>

    Examples:
      | occupancy | age | rate | result    |
      | 0         | 200 | 20   | certain   |
      | 4         | 20  | 20   | certain   |
      | 4         | 200 | 20   | uncertain |
      | 0         | 9999 | 20  | certain   |
      | 2         | 9999 | 20  | uncertain |
      | 6         | 0   | 20   | uncertain |

  Scenario: In a burst at upstreams that reset connections when full, few requests that must not run twice are lost
    Given a placement replay of 54 upstreams with 2 slots and a queue of 8 that reset connections, in a burst of 1.7
    When it runs with and without the placement on the seeds 1 to 3
    Then the placement has at most 0.3 as many failed requests that must not run twice
    And the placement serves at least 15 more requests of 1000 in target
    And the placement serves at most 20 fewer of 1000 requests that must not run twice in target

  Scenario: In a burst, gateways without load reports serve requests that must not run twice
    Given a placement replay of 54 upstreams with 2 slots and a queue of 8 that reset connections, in a burst of 1.7
    And 12 of its 12 placement gateways send and receive no load reports
    When it runs with and without the placement on the seeds 1 to 3
    Then the placement has at most 1.0 as many failed requests that must not run twice
    And the placement serves at most 20 fewer of 1000 requests that must not run twice in target

  Scenario: Short slowdowns during a burst are served about as before
    Given a placement replay of 54 upstreams with 2 slots and a queue of 8 that reset connections, in a burst of 1.7
    And each of its upstreams is 7 times slower with probability 0.3, anew every 500 ms, at load 0.35
    When it runs with and without the placement on the seeds 1 to 3
    Then the placement fails at most 0 more requests of 1000
    And the placement serves at least -10 more requests of 1000 in target

  Scenario Outline: Gateways without load reports from others serve no fewer while most upstreams reject
    Given a placement replay of 94 upstreams with 3 slots at load 0.5, of which 76 reject a share of 0.55 for 8500 ms
    And <isolated> of its 12 placement gateways send and receive no load reports
    When it runs with and without the placement on the seeds 1 to 2
    Then the placement serves at least 0 more requests of 1000 in target
    And the placement fails at most 5 more requests of 1000

    Examples:
      | isolated |
      | 4        |
      | 12       |
