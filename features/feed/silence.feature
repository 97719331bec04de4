Feature: Entries stay up to date when connections go silent without a reset

  Scenario: An entry applies a change within 2000 ms although all open connections went silent as it was committed
    Given an entry that follows one of 3 control members, and has spoken to the others before
    When all open connections go silent and a change is committed at every member
    Then the entry has applied the change within 2000 ms
