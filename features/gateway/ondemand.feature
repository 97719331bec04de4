Feature: Upstreams are asked for their load right before a request goes there

  Scenario Outline: When a look is worth its time
    Given <work> ms of work on VMs whose pace exceeds the usual by <excess> on average
    Then a look at a report of <age> ms ago is worthwhile: <worthwhile>

    Examples:
      | work | excess | age      | worthwhile |
      | 60   | 1.5    | 5        | no         |
      | 60   | 1.5    | 20       | yes        |
      | 60   | 0      | 1000     | no         |
      | 1    | 1.5    | 1000     | no         |
      | 230  | 1.5    | Infinity | yes        |

  Scenario Outline: A replay of VMs of which a quarter is 7 times slower for half a second at a time
    Given 30 upstreams on such VMs, whose reports are 20 to 220 ms old, and looks are <looks>
    When 3000 requests with 200 ms of work are placed, one each 5 ms
    Then the share that began on a slow VM is <bound>

    Examples:
      | looks | bound         |
      | off   | above 4 in 100 |
      | on    | below 1 in 100 |

  Scenario: Looks between the attempts of a request never let it run more often than it may
    Given 4000 random requests whose looks and attempts end in any order
    Then unsafe ones were sent again only if they can't have run, and the others ran at most 2 times
    And each got one answer

  Scenario: Looks of all gateways stay within the rate of probes
    Given 20 gateways that look at 30 upstreams whenever they may, at 60 probes a second each
    When 10 seconds pass
    Then they made at least 25 and at most 33 looks a second and upstream

  Scenario: Upstreams that another gateway probes are looked at as well, if their load is known to be told
    Given a gateway that probes none of the upstreams itself
    Then it may look at an upstream whose load another gateway told of
    And it may not look at an upstream whose load nobody told of
