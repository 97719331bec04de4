Feature: Changes are in force at every gateway while stewards are replaced
  A gateway once asked the addresses of stewards that were all gone, to the end of its life, and served its old routes.

  Scenario: A gateway that was paused while all stewards were replaced serves old routes to the end of its life
    Given a site of three stewards and four gateways
    When a gateway is paused while each steward is replaced 1500 ms after it was killed, and routes change
    And the gateway runs on for 3000 ms while callers use the changed routes
    Then within 2000 ms after an acknowledged change every gateway has the new routes and none of the old ones
    And the gateway that was paused answered no caller by routes of before its pause

  Scenario: A gateway that was paused while all stewards were replaced sends requests to a draining upstream
    Given a site of three stewards and four gateways
    When a gateway is paused while each steward is replaced 1500 ms after it was killed, and routes change
    And the gateway runs on for 3000 ms while callers use the changed routes
    Then an upstream gets no request later than 2000 ms after its drain was acknowledged

  Scenario Outline: A gateway whose seeds were all replaced never finds the group, though its settings name others by then
    Given a site of three stewards and four gateways
    When a gateway starts with seeds that are gone, and 1500 ms later its settings name living ones, <signal>
    Then that gateway serves requests within 5000 ms

    Examples:
      | signal         |
      | with SIGHUP    |
      | without SIGHUP |

  Scenario Outline: A steward that was replaced stays a voter, and the next loss ends all changes
    Given a site of three stewards and four gateways
    When a steward is replaced: <how>
    And another steward is killed 4000 ms after the replacement
    Then a change is acknowledged within 5000 ms, and 2000 ms later every gateway has the new routes and none of the old ones

    Examples:
      | how                                    |
      | the leader, 100 ms after it was killed |
      | a follower, before it is stopped       |
      | the leader, before it is stopped       |

  Scenario Outline: A follower or an earlier identity stays a voter beside its replacement, and the next loss ends all changes
    Given a site of three stewards and four gateways
    When a steward is replaced: <how>
    And another steward is killed 4000 ms after the replacement
    Then a change is acknowledged within 5000 ms, and 2000 ms later every gateway has the new routes and none of the old ones

    Examples:
      | how                                                       |
      | a follower, 100 ms after it was killed                    |
      | a follower at its own address, 100 ms after it was killed |
      | the leader at its own address, 100 ms after it was killed |

  Scenario Outline: Replacements of all stewards in a row end all changes, or leave a gateway behind
    Given a site of three stewards and four gateways
    When a gateway is paused while each steward is replaced <delay> ms after the one before, and a route is added each 800 ms
    And the gateway runs on for 3000 ms
    Then a change is acknowledged within 5000 ms, and 2000 ms later every gateway has the new routes and none of the old ones
    And every gateway serves each route that was acknowledged
    And the configuration that was acknowledged last is read back

    Examples:
      | delay |
      | 100   |
      | 1000  |
      | 4000  |

  Scenario: A gateway without any steward claims that a route doesn't exist
    Given a site of three stewards and four gateways
    When all stewards are gone for 6000 ms while callers use every gateway
    Then every request with a route was served
    And no request without a route got 404 later than 2500 ms after the loss, but 503 until the stewards were back
    And within 15000 ms a request without a route gets 404 again at every gateway
