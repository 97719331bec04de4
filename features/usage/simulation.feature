Feature: Usage reports under failures
  Gateways, three members and a platform in virtual time. Members are killed, frozen, partitioned and resumed, clocks
  jump, the platform is slow, down, busy or carries out calls late, and all VMs lose power.

  Scenario Outline: Reports keep their promises (<weather>)
    Given usage simulations of <seconds> s with weather "<weather>" and the seeds 1 to <seeds>
    Then no two accepted usage reports of a window differ
    And no usage token is used by two members
    And no usage holder that got 409 calls with that token again
    And usage holders don't alternate within 3 s
    And reported usage is within 5 % of the truth, less 2 s of requests for a loss of power
    And all usage windows are reported in the end, except where a loss of power took all their counts
    And usage takes at most 1.2 commits a second

    Examples:
      | weather  | seconds | seeds |
      | calm     | 90      | 3     |
      | holders  | 180     | 10    |
      | flapping | 90      | 24    |
      | platform | 180     | 6     |
      | power    | 180     | 10    |
      | all      | 240     | 16    |

  Scenario: Reports arrive in time
    Given usage simulations of 90 s with weather "calm" and the seeds 1 to 4
    Then each usage window's report arrives within 10 s of its end
