Feature: Upstreams are probed on demand right before a request is sent to them

  Scenario Outline: When an on-demand probe is worth its time
    Given <work> ms of work on VMs whose pace exceeds the normal one by <excess> on average
    Then a probe is worthwhile when the load report is <age> ms old: <worthwhile>

    Examples:
      | work | excess | age      | worthwhile |
      | 60   | 1.5    | 5        | no         |
      | 60   | 1.5    | 20       | yes        |
      | 60   | 0      | 1000     | no         |
      | 1    | 1.5    | 1000     | no         |
      | 230  | 1.5    | Infinity | yes        |

  Scenario Outline: Replay with a quarter of the VMs 7 times slower for half a second at a time
    Given 30 upstreams on such VMs, whose load reports are 20 to 220 ms old, with on-demand probes <probes>
    When 3000 requests with 200 ms of work are sent, one every 5 ms
    Then the share that began on a slow VM is <bound>

    Examples:
      | probes | bound          |
      | off    | above 4 in 100 |
      | on     | below 1 in 100 |

  Scenario: On-demand probes between attempts never let a request run more often than allowed
    Given 4000 random requests whose probes and attempts end in any order
    Then unsafe requests were retried only if they can't have run, and the others ran at most 2 times
    And each request got one answer

  Scenario: On-demand probes of all gateways stay within the probe rate
    Given 20 gateways that probe 30 upstreams on demand whenever they may, at 60 probes per second each
    When 10 seconds pass
    Then they made at least 25 and at most 33 on-demand probes per second and upstream

  Scenario: Upstreams that another gateway probes are also probed on demand, if they report their load
    Given a gateway that doesn't probe any of the upstreams periodically
    Then it may probe an upstream on demand if another gateway reported its load
    And it may also probe the other upstreams of the same service, whose load nobody reported yet
    And it may not probe an upstream on demand if no gateway reported the load of any upstream of its service

  Scenario: Upstreams are probed periodically from their own zone
    Given 4 gateways and 12 upstreams in each of the zones "a b c", and 6 upstreams in zone "d"
    When the gateways look for due probes
    Then each upstream is probed by exactly one gateway, which is in its zone if the zone has any

  Scenario Outline: Replay of a large fleet, whose upstreams each get few requests
    Given 236 upstreams on such VMs, each of which gets 1.7 requests a second from all gateways
    When their load is probed at the interval for <interval>, and 3000 requests with 660 ms of work are sent
    Then the probes for each request are <probes>
    And the share that began on a slow VM is below 1 in 100

    Examples:
      | interval       | probes      |
      | busy upstreams | more than 4 |
      | that rate      | at most 3   |

  Scenario: The interval between periodic probes follows the rate of requests
    Then the probe interval for 17 requests a second is 150 ms
    And the probe interval for 2 requests a second is 376 ms
    And the probe interval for 0 requests a second is 600 ms
    When a gateway gets 20 requests of a service, one every 750 ms
    Then it reports 1.3 requests a second within 25 in 100, and none in the first 2 seconds
