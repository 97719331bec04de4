Feature: Hedges cut slow answers within the extra work that the operator allows

  Scenario Outline: Delay of a hedge, from the times of the answers of its kind
    Given hedging with at most <extra> of extra work
    And <count> hedging answers of 100 expected ms that took <times> ms in turn
    Then the hedging delay of 100 expected ms is <least> to <most> ms

    Examples: without answers 1.7 times the expected time and 8 ms; bounded by 1.4 and 2.5 times
      | extra | count | times                                   | least | most |
      | 0.4   | 0     | 100                                     | 178   | 178  |
      | 0.4   | 900   | 100                                     | 148   | 148  |
      | 0.4   | 900   | 700                                     | 258   | 258  |
      | 0.4   | 900   | 100 110 120 130 140 150 160 170 210 220 | 165   | 230  |
      | 0.1   | 900   | 100 110 120 130 140 150 160 170 210 220 | 205   | 258  |

  Scenario: A kind's hedging delay doesn't depend on the answers of another kind
    Given hedging with at most 0.4 of extra work
    And 900 hedging answers of 100 expected ms that took 100 ms in turn
    Then the hedging delay of a "download" of 100 expected ms is 178 ms

  Scenario Outline: A hedge is sent only with room and within the extra work
    Given hedging with at most <extra> of extra work
    And <count> hedging answers of 100 expected ms that took 100 ms in turn
    And hedging attempts that lost after <lost> ms
    And hedging without room <ago> ms ago
    Then a hedge of 100 expected ms to an upstream with <slot> slot is "<decision>"

    Examples:
      | extra | count | lost | ago   | slot    | decision |
      | 0.4   | 10    | 0    | 99999 | a free  | send     |
      | 0.4   | 10    | 290  | 99999 | a free  | send     |
      | 0.4   | 10    | 310  | 99999 | a free  | none     |
      | 0.4   | 0     | 0    | 99999 | a free  | none     |
      | 0.4   | 10    | 0    | 500   | a free  | none     |
      | 0.4   | 10    | 0    | 1500  | a free  | send     |
      | 0.4   | 10    | 0    | 99999 | no free | none     |
      | 0     | 10    | 0    | 99999 | a free  | none     |

  Scenario: Without extra work no hedging timer is started
    Given hedging with at most 0 of extra work
    Then hedging schedules no hedge

  Scenario: Over many requests, hedges add at most the extra work that is allowed
    Given hedging with at most 0.1 of extra work
    When 20000 hedging requests of 100 ms run, of which each tenth takes 700 ms
    Then the hedging extra work is at most 0.1 of the work of the first attempts, and some hedges were sent

  Scenario Outline: A request whose first attempt is late is hedged once, and its loser is cancelled
    Given a hedging gateway request of kind "<kind>", with extra work of <extra>
    When its first hedging attempt takes <times> times as long as expected
    Then <attempts> hedging attempts were sent
    When the last hedging attempt is answered
    Then <cancelled> hedging attempts were cancelled, <won> hedges won, and their time is extra work

    Examples:
      | kind     | extra | times | attempts | cancelled | won |
      | safe     | 1     | 4     | 2        | 1         | 1   |
      | download | 1     | 4     | 2        | 1         | 1   |
      | unsafe   | 1     | 4     | 1        | 0         | 0   |
      | upload   | 1     | 4     | 1        | 0         | 0   |
      | safe     | 0     | 4     | 1        | 0         | 0   |
