Feature: The programs keep their guarantees under random faults that are injected from outside

  Each run starts 3 stewards, 3 gateways and 12 upstreams behind proxies, and injects the faults of its seed.
  `npm run soak -- --seeds 1-50 --seconds 8` runs more seeds, each with a series of replaced stewards.

  Scenario Outline: Seeded faults, <cause>
    When the soak runs seed <seed> for <seconds> s
    Then it reports no violations, and more than half of the requests were answered

    Examples: a short run for CI, and each seed that has revealed a bug, with its cause
      | seed | seconds | cause       |
      | 1    | 6       | a short run |

  Scenario Outline: Stewards replaced in series among the seeded faults, <cause>
    When the soak runs seed <seed> for <seconds> s beside a series of replaced stewards
    Then it reports no violations, and more than half of the requests were answered

    Examples: a short run for CI, and each seed that has revealed a bug, with its cause
      | seed | seconds | cause                                                       |
      | 2    | 4       | a short run                                                 |
      | 125  | 6       | a gateway's own standstill counted as work of its requests  |
