Feature: Gateways tell each other what they see of the upstreams' load

  Scenario Outline: The ways of load reports
    Given a fleet of <gateways> gateways in 4 zones, of which 2 a zone are strong
    Then the gateways tell each other "<way>"
    And each relay serves at most <followers> gateways, and the strong ones relay first

    Examples:
      | gateways | way     | followers |
      | 3        | direct  | 0         |
      | 32       | direct  | 0         |
      | 33       | relayed | 16        |
      | 106      | relayed | 16        |
      | 300      | relayed | 16        |

  Scenario: A report reaches every gateway of a large fleet, also when a relay falls silent
    Given 40 gateways on loopback tell each other the load
    When one gateway that is no relay sees an upstream with 5 requests and a bad answer
    Then within 1000 ms every gateway believes that it has 5 requests
    And no gateway counted the bad answer more than twice
    When a relay falls silent, and 1000 ms pass
    And one gateway that is no relay sees an upstream with 3 requests and a bad answer
    Then within 2000 ms every gateway believes that it has 3 requests
