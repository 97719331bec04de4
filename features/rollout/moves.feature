Feature: Version moves
  A good version gets all traffic before its deadline; a bad one is rolled back while its share is small.

  Scenario Outline: <case>
    When seeded rollouts of a version that is <case> are simulated
    Then at most <wrong> % of the rollouts end with the wrong outcome, and none stays open
    And no bad version had more than <share> % of the traffic when it was rolled back

    Examples: Versions that must complete (the tests allow 1 % false alarms; 5 % allows for the small number of runs)
      | case                              | wrong | share |
      | good                              | 5     | 100   |
      | good while the whole service fails | 5    | 100   |
      | good while the whole service slows | 5    | 100   |
      | good with few calls               | 5     | 100   |

    Examples: Versions that must be rolled back
      | case                     | wrong | share |
      | failing at once          | 5     | 10    |
      | failing on one route     | 5     | 25    |
      | slow                     | 5     | 10    |
      | failing under load       | 5     | 50    |
      | failing later            | 5     | 90    |
      | failing with all traffic only | 5 | 100  |

  Scenario: Plans at the edges of a rollout
    Then the rollout plans in edge cases match the snapshot
