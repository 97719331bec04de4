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
