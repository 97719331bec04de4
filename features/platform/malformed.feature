Feature: Malformed messages end no gateway and no steward

  Scenario: Malformed bytes on every listener
    Given the platform's site serves two services
    When malformed bytes are sent to every listener of every VM
    Then no process of the site has ended
    And each gateway still serves both services, and each steward still answers reads

  Scenario: Announcements that name no usable upstream
    Given the platform's site serves two services
    When announcements with these faults are sent to every steward, each is rejected:
      | fault               | id       | address          | service | zone      | slots |
      | port out of range   | up-1     | 127.0.0.1:99999  | records | cyberjaya | 6     |
      | port 0              | up-2     | 127.0.0.1:0      | records | cyberjaya | 6     |
      | host out of range   | up-3     | 999.0.0.1:8080   | records | cyberjaya | 6     |
      | line break in id    | up%0D%0A | 127.0.0.1:8080   | records | cyberjaya | 6     |
      | half a code in id   | up%      | 127.0.0.1:8080   | records | cyberjaya | 6     |
      | endless slots       | up-4     | 127.0.0.1:8080   | records | cyberjaya | 1e308 |
      | half a slot         | up-5     | 127.0.0.1:8080   | records | cyberjaya | 1.5   |
    Then no process of the site has ended
    And each gateway still serves both services, and each steward still answers reads

  Scenario: Messages that are nested deeply, and numbers that are too large
    Given the platform's site serves two services
    When a configuration and an announcement nested 3000 deep, and numbers like 1e999, are sent to every steward, each is rejected
    Then no process of the site has ended
    And each gateway still serves both services, and each steward still answers reads
