Feature: Outcomes of intent commands
  Every command has one outcome, and a retry with the same id gets that outcome again.

  Scenario: Outcomes of commands that race, repeat and overlap
    Given an intent log
      | id  | kind           | with                                       | expects |
      | a1  | zoneOut        | zone=cyberjaya                             |         |
      | a1  | zoneOut        | zone=cyberjaya                             |         |
      | a1  | zoneOut        | zone=putrajaya                             |         |
      | b1  | zoneOut        | zone=cyberjaya                             | 0       |
      | b2  | zoneIn         | zone=cyberjaya                             | 0       |
      | b3  | zoneIn         | zone=cyberjaya                             | 1       |
      | a2  | upstreamsLeave | label=service=seam                         |         |
      | b4  | upstreamsStay  | label=service=seam                         | 2       |
      | b5  | upstreamsStay  | label=service=hold                         |         |
      | m1  | startMove      | service=seam version=v2 deadline=2000000   |         |
      | m2  | startMove      | service=seam version=v3 deadline=2000000   |         |
      | m3  | startMove      | service=hold version=v2 deadline=5         |         |
      | m4  | startMove      | version=v2 deadline=2000000                |         |
      | s1  | stepMove       | moveId=m1 step=1 share=0.02                |         |
      | s1b | stepMove       | moveId=m1 step=1 share=0.02                |         |
      | s2  | finishMove     | moveId=m1 step=1                           |         |
      | s3  | takeBackMove   | moveId=m1 step=1                           |         |
      | c1  | cancelMove     | moveId=m1                                  |         |
      | m5  | startMove      | service=seam version=v2 deadline=2000000   | 4       |
      | e1  | joinEntry      | entry=e1 incarnation=5                     |         |
      | e2  | joinEntry      | entry=e2 incarnation=5                     |         |
      | f1  | confirmInForce | revision=7                                 |         |
      | f2  | confirmInForce | revision=99                                |         |
      | e3  | joinEntry      | entry=e1 incarnation=6                     |         |
      | e4  | joinEntry      | entry=e1 incarnation=4                     |         |
      | e5  | activateEntry  | entryId=e1 incarnation=5                   |         |
      | e6  | lapseEntry     | entryId=e1 incarnation=5                   |         |
    Then the intent outcomes, statuses, log and configuration are as recorded

  Scenario: A move ends as done and its version keeps all traffic
    Given an intent log
      | id | kind       | with                                     | expects |
      | m1 | startMove  | service=seam version=v2 deadline=2000000 |         |
      | s1 | stepMove   | moveId=m1 step=1 share=1                 |         |
      | s2 | finishMove | moveId=m1 step=1                         |         |
      | f1 | confirmInForce | revision=2                           |         |
      | s4 | finishMove | moveId=m1 step=1                         |         |
      | m2 | startMove  | service=seam version=v3 deadline=2000000 |         |
      | s3 | stepMove   | moveId=m2 step=1 share=0.25              |         |
    Then the intent outcomes, statuses, log and configuration are as recorded

  Scenario: Conflicting and retried commands keep the invariants across snapshots
    When seeded random commands are applied to two intent members, one of which restarts from snapshots
    Then both intent members return equal results and states, and every retry gets its first outcome

  Scenario: Retained outcomes are bounded and a command whose outcome was evicted is not applied again
    When 6000 zone commands are applied to intent
    Then the first of them is refused as too old when it is retried
    And the last 4096 intent outcomes are retained
