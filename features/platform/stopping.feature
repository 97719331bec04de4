Feature: A gateway that gets SIGTERM answers what it has taken

  Scenario: A large answer is cut off in a planned stop
    Given a site whose processes have 6000 ms to stop
    When a gateway gets SIGTERM while a caller receives 24 MB at 5 MB a second
    Then the caller gets the whole answer, and the gateway ended within 6000 ms

  Scenario: A large answer on a kept connection is cut off in a planned stop
    Given a site whose processes have 6000 ms to stop
    When a gateway gets SIGTERM right after it began to send 24 MB on a kept connection, received at 5 MB a second
    Then the caller gets the whole answer, and the gateway ended within 6000 ms
