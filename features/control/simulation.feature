Feature: Control members under random faults
  Seeded runs of the real core: crashes, lost and damaged disks, cuts, freezes, stopped clocks, lost,
  doubled and reordered messages, racing proposers, changes of members. SEEDS and STEPS make them longer.

  Scenario: Nothing accepted is lost, doubled or reordered, and the group settles afterwards
    When control members run under random faults
    Then every control run was linearizable and settled
    And the control runs met every kind of fault

  Scenario: Disks that lie about syncing are found out
    When control members run on disks that lie
    Then a control run broke a promise
