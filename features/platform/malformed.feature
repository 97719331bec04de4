Feature: Malformed messages end no gateway and no steward

  Scenario: Malformed bytes on every listener
    Given the platform's site serves two services
    When malformed bytes are sent to every listener of every VM
    Then no process of the site has ended
    And each gateway still serves both services, and each steward still answers reads
