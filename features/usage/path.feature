Feature: Usage reports of a steward with a disk
  A steward as it runs in its process, a follower with a counter, and a stand-in for the platform, on loopback. Guards
  against parts that work alone and aren't connected, and against counts that a restart loses.

  Scenario: Counts that were committed are reported after a restart, each once
    Given a usage steward with its disk, and a usage follower
    When the usage follower counts 40 requests of "ana" in a window
    And the usage steward has committed them and restarts
    And the usage follower counts 2 requests of "bo" in the same window, if it lasts
    Then the usage stand-in got all 42 requests within 20 s, each window once
    And the metrics of the usage steward tell no late requests
