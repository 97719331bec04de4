Feature: Hedges in simulated time, compared with hedges after a constant delay that only the retry budget limits

  Scenario: Short slowdowns are hedged as well as before
    Three seeds differ by up to 1 of 1000 by chance; a loss of more would show that the delay is too long.

    Given a hedging replay at load 0.35 with upstreams 7 times slower with probability 0.3, and a burst of 1
    When the hedging replay runs on the seeds 1 to 10
    Then hedging serves at least -1 more of 1000 "safe" requests in target than constant delays
    And hedging serves at least 40 more of 1000 "safe" requests in target than no hedges
    And hedging sends at most 1 times as many hedges as constant delays

  Scenario: Hedges take no room from others in a burst
    Given a hedging replay at load 0.7 with upstreams 1 times slower with probability 0, and a burst of 1.7
    When the hedging replay runs on the seeds 1 to 3
    Then hedging serves at least 5 more of 1000 "safe" requests in target than constant delays
    And hedging sends at most 0.3 times as many hedges as constant delays
    And hedging fails at most 0.7 times as many "safe" requests as constant delays

  Scenario: Slowdowns in a burst
    Given a hedging replay at load 0.35 with upstreams 7 times slower with probability 0.3, and a burst of 1.7
    When the hedging replay runs on the seeds 1 to 3
    Then hedging serves at least 5 more of 1000 "safe" requests in target than constant delays
    And hedging serves at least -10 more of 1000 "unsafe" requests in target than constant delays
    And hedging fails at most 0.7 times as many "safe" requests as constant delays
