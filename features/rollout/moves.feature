Feature: Version moves
  A good version gets all traffic before its deadline; a bad one is taken back while its share is small.

  Scenario Outline: <case>
    When seeded rollouts are simulated of a version that is <case>
    Then at most <wrong> % of the rollouts end the wrong way, and none stays open
    And no rollout of a bad version gave it more than <share> % at once when its fault showed

    Examples: Versions that must be done (1 % false alarms are allowed; 5 % leaves room for few runs)
      | case                              | wrong | share |
      | good                              | 5     | 100   |
      | good while the whole service fails | 5    | 100   |
      | good while the whole service slows | 5    | 100   |
      | good with few calls               | 5     | 100   |

    Examples: Versions that must be taken back
      | case                     | wrong | share |
      | failing at once          | 5     | 10    |
      | failing on one route     | 5     | 25    |
      | slow                     | 5     | 10    |
      | failing under load       | 5     | 50    |
      | failing later            | 5     | 90    |

  Scenario: Plans at the edges of a rollout
    Then the rollout plans at the edges are as recorded
