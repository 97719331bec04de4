Feature: Fleets refuse requests that crash upstreams, and hardly any others

  Over seeds, on a virtual clock: 16 gateways, 15 upstreams that come back after 2.5 s, 40 requests a second that
  crash nothing, and 10 callers that repeat one of those four times a second.

  Scenario Outline: <name>
    When fleets with <faults> run with 6 seeds
    Then each request that crashes upstreams ended at most <ended> of them, and at most 3 of its sendings came later than 3 s after the third
    And at most <refused> in 1000 requests that crash nothing were refused

    Examples:
      | name                                                  | faults                                                       | ended | refused |
      | One that comes slowly                                 | killers 0.3                                                  | 8     | 1       |
      | One that comes four times a second                    | killers 4                                                    | 8     | 1       |
      | One that comes very often                             | killers 100                                                  | 8     | 1       |
      | One among 121 gateways                                | killers 4, gateways 121, upstreams 60                        | 8     | 1       |
      | One while a third of the datagrams is lost            | killers 4, loss 0.3                                          | 8     | 1       |
      | One while gateways are killed and started again       | killers 50, gateways 3, restartGap 1500                      | 8     | 1       |
      | Two at the same time                                  | killers 4 4                                                  | 8     | 5       |
      | Two that always strike together                       | killers 4 4, together                                        | 8     | 5       |
      | Three that always strike together                     | killers 20 20 20, together                                   | 8     | 5       |
      | One while others crash by themselves                  | killers 4, herdCount 13, herdGap 150                         | 8     | 5       |
      | One beside upstreams that crash over and over         | killers 4, flapping 8                                        | 8     | 10      |
      | None while 13 crash one after another                 | herdCount 13, herdGap 150                                    | 0     | 5       |
      | None while 13 crash at once                           | herdCount 13, herdGap 1                                      | 0     | 10      |
      | None while twelve upstreams crash over and over       | flapping 12                                                  | 0     | 10      |
