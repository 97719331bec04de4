Feature: Series of replacements of control members
  Seeded runs of the real core and the stewards' plan of members: 3 to 5 VMs, twelve of them lost one after another, the
  leader or a follower; killed, wiped or restarted, back or replaced 0.1 to 8 s later, or replaced before they stop. The
  next is lost 4.5 s after the replacement started. Beside these are elections, pauses and one-way cuts. SEEDS extends them.

  Scenario: The group survives every loss of one VM at a time
    When the VMs of a control group are lost and replaced in series
    Then after each loss the control group commits, and survives one more loss
    And the series covered every kind of loss and trouble
