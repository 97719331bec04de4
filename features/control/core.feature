Feature: Single decisions of the consensus core

  Scenario: Admitting a member that already belongs to the group changes nothing
    Given a control core that is the leader among 3 members
    When the control core is asked to admit member 2 again
    Then the control core refuses with "alreadyMember"
    And member 2 of the control core is still a voter

  Scenario: A membership change is refused while another one is pending
    Given a control core that is the leader among 3 members
    When the control core is asked to admit a new member twice
    Then the control core refuses with "changePending"

  Scenario: A member is not removed when too few of the others answer
    Given a control core that is the leader among 3 members
    When the control core is asked to remove member 1 while only that member answers
    Then the control core refuses with "fewAnswer"

  Scenario: An isolated member never increases its term
    Given a control core that is a follower among 3 members
    When the control core receives no messages for 600 seconds
    Then the term of the control core is still 1 and it sent only pre-vote requests

  Scenario: A member that is in contact with a leader ignores vote requests
    Given a control core that is a follower among 3 members
    When the control core receives a heartbeat of term 2 and then a vote request of term 9
    Then the term of the control core is still 2 and it sends no answer

  Scenario: A leader without answers from the others steps down and refuses pending reads
    Given a control core that is the leader among 3 members
    When the control core receives a read request and then no messages for 2 seconds
    Then the control core is no longer the leader and the read was refused

  Scenario: A leader that wakes from a pause steps down before it handles anything else
    Given a control core that is the leader among 3 members
    When the control core wakes after a pause of 5 seconds and receives a proposal
    Then the control core refuses with "notLeader"

  Scenario: A learner that no longer hears from its leader reports none
    Given a control core that is a follower among 3 members
    When the control core receives a heartbeat that makes it a learner, and then no messages for 5 seconds
    Then the control core knows no leader and sent no request for votes

  Scenario: A follower that needs no snapshot any more is sent the entries that it lost
    Given a control core that is the leader among 3 members
    When the control core compacts its log while member 2 lacks the entries from 11 on
    Then the control core sends member 2 a snapshot
    When the entries up to 60 after the base of its log, which were under way, reach member 2, and no later ones
    Then the control core sends member 2 the entries from 61 after that base on again

  # A gateway that starts takes the state of a member that calls itself healthy.
  Scenario: A member that knows a leader doesn't count as up to date before an entry of the leader's term is committed
    Given a control core that is a follower among 3 members
    Then the control core is up to date: false
    When the control core hears from a leader of term 2 whose log it lacks
    Then the control core is up to date: false
    When the control core gets the entry of term 2 that this leader committed
    Then the control core is up to date: true
    Given a control core that is the leader among 3 members
    Then the control core is up to date: true
