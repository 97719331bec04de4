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
