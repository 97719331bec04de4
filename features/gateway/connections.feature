Feature: Gateways reuse connections to upstreams

  Scenario Outline: When a probe keeps an idle connection open
    Given an upstream that was last sent a request <sent> ms ago and is "<state>"
    When an idle connection to it expires in <left> ms
    Then a probe keeps the connection open: <kept>

    Examples:
      | sent  | state       | left | kept |
      | 5000  | healthy     | 1000 | yes  |
      | 5000  | healthy     | 3000 | no   |
      | 25000 | healthy     | 1000 | no   |
      | 5000  | cold        | 1000 | no   |
      | 5000  | unreachable | 1000 | no   |
      | 5000  | draining    | 1000 | no   |
      | 5000  | probing     | 1000 | no   |

  Scenario: Replay of gateways with about one request a second each
    Given 24 gateways and 44 upstreams on VMs of which a quarter is 4 times slower for half a second at a time
    When each gateway has a request of 660 ms every 1000 ms on average, for 60 seconds
    Then at most 10 in 100 of the requests of the last 50 seconds needed a new connection
    And at most 3 in 100 of the requests began on a slow VM
    And no upstream ran more than 6 requests at once
