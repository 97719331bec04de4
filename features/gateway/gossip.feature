Feature: Gateways exchange load reports of upstreams by gossip

  Scenario Outline: Paths of load reports between gateways
    Given a fleet of <gateways> gateways in 4 zones, with 2 of high capacity per zone
    Then the path of load reports is "<path>"
    And each relay serves at most <followers> gateways, and those with high capacity are relays first

    Examples:
      | gateways | path    | followers |
      | 3        | direct  | 0         |
      | 32       | direct  | 0         |
      | 33       | relayed | 16        |
      | 106      | relayed | 16        |
      | 300      | relayed | 16        |

  Scenario: A load report reaches every gateway of a large fleet, even after a relay stops
    Given 40 gateways on loopback gossip load reports
    When a gateway that is not a relay observes an upstream with 5 requests and a bad answer
    Then within 1000 ms every gateway's load report shows 5 requests
    And no gateway counted the bad answer more than twice
    When a relay stops, and 1000 ms pass
    And a gateway that is not a relay observes an upstream with 3 requests and a bad answer
    Then within 2000 ms every gateway's load report shows 3 requests

  Scenario Outline: Load gossip of a relay with <followers> followers leaves most of a link of <mbps> Mbit a second free
    Given a relay with <followers> followers and 23 other relays on a link of <mbps> Mbit a second, and 500 upstreams
    When each upstream is reported by a follower or a relay each <interval> ms for 4000 ms
    Then in any 2 s the relay sends at most half of what the link carries
    And each follower is sent the reports of all upstreams, and at least a datagram each 400 ms

    Examples:
      | followers | mbps | interval |
      | 13        | 2.1  | 700      |
      | 16        | 2.1  | 300      |
      | 13        | 3.9  | 300      |

  Scenario Outline: Load reports cross zones less often than they are spread within a zone
    Given <gateways> gateways on loopback gossip load reports
    When a gateway that is not a relay observes an upstream every 50 ms for 2400 ms
    Then the gateways of its zone receive at least <near> reports each
    And those of other zones receive at least 4 and at most <far> reports each

    Examples:
      | gateways | near | far |
      | 12       | 16   | 10  |
      | 40       | 10   | 8   |

  Scenario: Load reports for other zones are sent together, and at once only if an upstream worsens
    Given the reports of 8 upstreams for other zones, which are sent every 1300 ms
    When each upstream is observed every 150 ms for 6000 ms, in rounds of 300 ms
    Then other zones are sent at most 5 rounds of reports, with all answers that were counted
    When an upstream becomes cold between two rounds
    Then the next round tells other zones of that upstream alone

  Scenario Outline: A datagram with <fault> changes no record
    Given a gateway that knows an upstream with 2 requests, from load gossip
    When a datagram with <fault> is sent to it
    Then it reports a problem, and the upstream's record is unchanged
    When a load report of 4 requests is sent to it
    Then the upstream's record shows 4 requests

    Examples:
      | fault                |
      | a row of text        |
      | a missing pace       |
      | a pace of no number  |
      | a report from later  |
      | endless requests     |
      | an unknown source    |
      | no rows              |
      | bytes of no encoding |
