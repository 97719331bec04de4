Feature: The catalog holds the replicated state that entries route by

  Scenario Outline: A change of the routes is accepted only if it is valid and based on the current version
    Given a catalog with route version 5
    When the change "<change>" with version <version> builds on version <base>
    Then the catalog answers "<outcome>" and holds version <held>

    Examples:
      | change          | version | base | outcome | held |
      | sound           | 7       | 5    | done    | 7    |
      | sound           | 7       | 4    | stale   | 5    |
      | sound           | 5       | 5    | invalid | 5    |
      | sound           | 4       | 5    | invalid | 5    |
      | unknown service | 7       | 5    | invalid | 5    |
      | same place      | 7       | 5    | invalid | 5    |
      | no timeout      | 7       | 5    | invalid | 5    |
      | no attempts     | 7       | 5    | invalid | 5    |
      | no weight       | 7       | 5    | invalid | 5    |
      | patch           | 7       | 5    | done    | 7    |
      | bad patch       | 7       | 5    | invalid | 5    |

  Scenario: A change that was accepted is accepted again after later changes, without effect
    Given a catalog with route version 5
    When the change "sound" with version 7 builds on version 5
    And the change "patch" with version 9 builds on version 7
    And the change "sound" with version 7 builds on version 5
    Then the catalog answers "done" and holds version 9

  Scenario: Of two changes based on the same version, only the first is accepted
    Given a catalog with route version 5
    When the change "sound" with version 7 builds on version 5
    And the change "patch" with version 7 builds on version 5
    Then the catalog answers "stale" and holds version 7

  Scenario Outline: Announced, draining and ended upstreams
    Given an empty catalog
    When the upstream events "<events>" are applied
    Then the catalog lists "<listed>"

    Examples:
      | events                                             | listed             |
      | a@1 ready                                          | a@1                |
      | a@1 ready, a@1 draining                            | a@1 draining       |
      | a@1 draining, a@1 ready                            | a@1 draining       |
      | a@1 ready, a@1 left                                |                    |
      | a@1 ready, a@1 left, a@1 ready                     |                    |
      | a@1 ready, a@1 left, a@2 ready                     | a@2                |
      | a@2 ready, a@1 ready                               | a@2                |
      | a@2 ready, a@1 left                                | a@2                |
      | a@1 left, a@1 ready                                |                    |
      | a@1 ready, a@2 left                                |                    |
      | a@1 ready, a@2 left, a@1 ready                     |                    |
      | a@1 ready, a@2 left, a@2 ready                     |                    |
      | a@1 ready, a@2 left, a@3 ready                     | a@3                |
      | a@1 draining, a@2 left                             |                    |
      | a@2 left, a@1 ready                                |                    |
      | a@1 ready, a@2 silent                              | a@1                |
      | a@1 ready, a@1 silent, a@1 ready                   | a@1                |
      | a@1 ready, b@2 ready at the address of a           | b@2                |
      | b@2 ready at the address of a, a@1 ready           | b@2                |
      | a@1 ready, b@2 ready at the address of a, a@1 ready | b@2               |

  Scenario: A duplicate order of a move changes nothing, and a version that was rolled back gets no traffic
    Given an empty catalog
    When the upstream events "a@1 ready" are applied
    And a move to "v2" is ordered at 1000 and again at 3000
    And the move steps to share 0.05 and is then rolled back
    And a move to "v2" is ordered at 4000 and again at 4500
    Then the catalog sends 0 of the traffic to "none" and the rest to "v1"

  Scenario: A snapshot restores the same state
    Given a catalog with route version 5
    When the upstream events "a@1 ready, b@3 draining" are applied
    Then the catalog is the same after a snapshot

  Scenario: Builds that keep upstreams in a map and in an object read each other's snapshots
    Given an empty catalog
    When the upstream events "a@1 ready, b@2 draining" are applied
    Then a snapshot holds the upstreams as an object, and is read from one
