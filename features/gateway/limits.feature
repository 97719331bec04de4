Feature: An upstream that names a limit gets no more from all gateways together
  In any 4 s it may get one and a half times the limit and 5 requests more from gateways that know of it.

  Scenario Outline: All gateways together keep to the limit
    Given <gateways> gateways that send to an upstream with a limit of <limit> requests a second whenever they may
    When <event>
    Then in no 4 s after the first 500 ms the upstream gets more than its limit allows
    And it gets at least <least> of its limit

    Examples:
      | gateways | limit | event                                       | least |
      | 1        | 7     | nothing else happens                        | 0.6   |
      | 16       | 7     | nothing else happens                        | 0.6   |
      | 16       | 0.5   | nothing else happens                        | 0.4   |
      | 22       | 2.5   | nothing else happens                        | 0.6   |
      | 121      | 7     | nothing else happens                        | 0.6   |
      | 317      | 7     | nothing else happens                        | 0.6   |
      | 16       | 7     | a quarter of them restarts every 3000 ms    | 0.5   |
      | 121      | 7     | a quarter of them restarts every 3000 ms    | 0.4   |
      | 16       | 7     | every second one knows only half of them    | 0.6   |
      | 121      | 7     | every second one knows only half of them    | 0.4   |

  Scenario: A gateway that took no part in a limit takes part once the others have left
    Given the gateway of 121 that ranks last for an upstream with a limit of 0.5 requests a second
    Then it may not send to the upstream within 10000 ms
    When all other gateways leave
    Then it may send to the upstream within 10000 ms

  Scenario: Gateways hear of a limit from each other, and of its end
    Given two gateways that exchange load gossip about an upstream
    When the first one is told a limit of 6.9 requests a second
    Then the second one knows the limit 6.9 within 500 ms
    When the first one is told no limit any more
    Then the second one knows no limit within 500 ms

  Scenario Outline: Limits that can't be read are none
    Then the limit "<text>" is read as "<limit>"

    Examples:
      | text | limit |
      | 6.9  | 6.9   |
      | 0    | 0     |
      |      | none  |
      | -1   | none  |
      | 1e999 | none |
      | many | none  |

  Scenario Outline: An upstream that turns requests away gets none from this gateway for that time
    When an upstream answers <status> with the header "<header>" at 1000 ms
    Then it takes requests again from <from> ms on

    Examples:
      | status | header             | from  |
      | 503    | Retry-After: 2.5   | 3500  |
      | 503    | Retry-After: soon  | 1000  |
      | 503    | Retry-After: -1    | 1000  |
      | 200    | Retry-After: 2.5   | 1000  |
      | 200    | Server-Leaving: 1  | never |
      | 503    | Server-Leaving: 1  | never |
      | 200    | Server-Leaving: 0  | 1000  |

  Scenario: A list of gateways is read once, however many upstreams share a rate among its gateways
    Given a list of 300 gateways that counts what is read of it
    When 700 upstreams become cold
    Then at most 600 gateways were read of the list
