Feature: What the attempts at a new version show about it

  Scenario Outline: An attempt that is cut off counts as evidence once it took long
    Then an attempt of <elapsed> ms, of which 60 were expected, that ends "<end>" with <left> ms left counts as "<finding>"

    Examples:
      | end         | elapsed | left | finding |
      | 200         | 60      | 500  | good    |
      | 500         | 60      | 500  | failed  |
      | lost        | 60      | 500  | failed  |
      | notRun      | 5       | 500  | nothing |
      | unreachable | 5       | 500  | nothing |
      | cancelled   | 600     | 0    | failed  |
      | cancelled   | 110     | 400  | good    |
      | cancelled   | 50      | 400  | nothing |

  Scenario: A request that fails at the new version is sent to the old one again
    Given a request to version "v2" of a service whose traffic moves there from "v1"
    When its first attempt is answered with 500
    Then the versions that it was sent to are "v2 v1"

  Scenario Outline: An attempt of a request that was given <given> earlier, once <moved>
    Then an attempt of a request of version "<given>" goes to version "<wanted>" once the stable version is "<stable>" and the next one "<next>"

    Examples:
      | given | moved                            | stable | next | wanted |
      | v2    | its version was rolled back      | v1     | none | v1     |
      | v1    | the move to the next completed   | v2     | none | v2     |
      | v2    | the move goes on                 | v1     | v2   | v2     |
      | v1    | the move goes on                 | v1     | v2   | v1     |
      | v2    | another move has begun           | v1     | v3   | v1     |

  Scenario: An attempt that runs long is reported while it runs, and once
    Given a watch on attempts that take longer than 40 ms
    When attempts of 20 ms, 120 ms and 200 ms run
    Then after 80 ms 2 of them are reported, and after 250 ms as many
