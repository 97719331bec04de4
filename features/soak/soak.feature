Feature: The real programs keep their promises under random faults from outside

  Each run starts 3 stewards, 3 gateways and 12 upstreams behind proxies, and strikes with the faults of its seed.
  `npm run soak -- --seeds 1-50 --seconds 8` runs more of them.

  Scenario Outline: Seeded faults, <cause>
    When the soak runs seed <seed> for <seconds> s
    Then it found nothing, and served more than half of the requests

    Examples: a short run in CI, and every seed that ever found a fault, with its cause
      | seed | seconds | cause       |
      | 1    | 6       | a short run |
