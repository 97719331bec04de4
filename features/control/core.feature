Feature: Single decisions of the consensus core

  Scenario: Admitting a member that already belongs to the group changes nothing
    Given a leading control core of 3 members
    When the control core is asked to admit member 2 again
    Then the control core refuses with "alreadyMember"
    And member 2 of the control core still votes

  Scenario: A second change of members waits for the first
    Given a leading control core of 3 members
    When the control core is asked to admit a new member twice
    Then the control core refuses with "changePending"

  Scenario: A member is not removed when too few of the others answer
    Given a leading control core of 3 members
    When the control core is asked to remove member 1 while only that member answers
    Then the control core refuses with "fewAnswer"

  Scenario: An isolated member raises no term, however long it is alone
    Given a following control core of 3 members
    When the control core hears nothing for 600 seconds
    Then the term of the control core is still 1 and it asked only whether it would win

  Scenario: A member that hears a leader lets nobody stand for election
    Given a following control core of 3 members
    When the control core hears a leader of term 2 and then a candidate of term 9
    Then the term of the control core is still 2 and it answered nothing

  Scenario: A leader that nobody answers steps down, and refuses the reads that waited
    Given a leading control core of 3 members
    When the control core is asked for a read and hears nothing for 2 seconds
    Then the control core follows and the read was refused

  Scenario: A leader that woke from a pause steps down before it does anything else
    Given a leading control core of 3 members
    When the control core wakes after 5 seconds and is asked to commit
    Then the control core refuses with "notLeader"
