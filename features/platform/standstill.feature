Feature: A gateway that stood still takes no time of its own for that of upstreams
  Answers that arrived while it stood still once counted as work of seconds, after which it refused their route for good.

  Scenario: A gateway that was paused while requests were at upstreams refuses their route for good
    Given a site whose gateway has 24 requests at upstreams
    When that gateway is paused for 6000 ms from then on
    Then it serves requests of the same route within 2000 ms after the pause
