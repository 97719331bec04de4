Feature: Control members under random faults
  Seeded runs of the real core with crashes, lost, damaged and full disks, partitions, freezes, stopped clocks, lost,
  duplicated and reordered messages, concurrent proposals, membership changes. SEEDS and STEPS extend them.

  Scenario: Accepted commands are not lost, duplicated or reordered, and the group converges afterwards
    When control members run under random faults
    Then every control run was linearizable and converged
    And the control runs covered every kind of fault

  Scenario Outline: Half of the disks of a group founded by <founders> are lost, and no accepted command with them
    When control members, <founders> of which found the group, lose up to half of their disks under random faults
    Then every control run was linearizable and converged
    And the control runs had leaders that were elected by half of the voters

    Examples:
      | founders |
      | 2        |
      | 4        |

  Scenario: The checks detect disks that lose synced writes
    When control members run on disks that lose synced writes
    Then a control run failed a check

  Scenario Outline: Disks that are full in turn don't stop a group of <size> for good
    When the disks of <size> control members are full in turn, twice round
    Then every control run was linearizable and converged

    Examples:
      | size |
      | 3    |
      | 4    |
      | 5    |
