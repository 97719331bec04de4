Feature: The log of a control member stays small whatever the size of its commands

  Scenario: Hundreds of large configurations exhaust neither the memory nor the disk of a control member
    Given a control member whose state is a configuration
    When 150 configurations of 1400 routes are committed
    And the control member is restarted, and 150 configurations of 1400 routes are committed
    Then its log never took more than 16 MB, and its folder never more than 64 MB
    And after another restart it has configuration 300

  Scenario Outline: A log of commands of any size stays within its bounds
    When commands of random size up to <size> KB are applied 3000 times, with snapshots of up to <state> KB, with seed <seed>
    Then the log never took more than 20 MB, and never fewer than the entries since the last snapshot

    Examples:
      | size | state | seed |
      | 1    | 16    | 1    |
      | 400  | 400   | 2    |
      | 2000 | 8000  | 3    |

  Scenario: A leader whose changes are not committed refuses more of them before they fill its memory
    Given a control core that is the leader among 3 members
    When 100 commands of 1 MB are proposed to the control core while no other member answers
    Then the control core refuses with "overloaded"
    And the log of the control core takes at most 20 MB
