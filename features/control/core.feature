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

  # A voter that is gone for good would count in majorities until an operator removed it.
  Scenario Outline: A silent member loses its vote after <limit> ms, but three members always vote
    Given a control core that is the leader among <size> members
    When for <early> ms only members "<answering>" answer the control core
    Then members "<all>" of the control core vote, and "" do not
    When for <late> ms only members "<answering>" answer the control core
    Then members "<voters>" of the control core vote, and "<learners>" do not
    When for 20000 ms only members "<answering>" answer the control core
    Then members "<voters>" of the control core vote, and "<learners>" do not

    Examples:
      | size | answering | early | late | limit | all         | voters    | learners |
      | 3    | 1         | 2400  | 100  | 2400  | 0 1 2       | 0 1 2     |          |
      | 4    | 1 2       | 2400  | 100  | 2400  | 0 1 2 3     | 0 1 2     | 3        |
      | 5    | 1 2       | 2400  | 150  | 2400  | 0 1 2 3 4   | 0 1 2     | 3 4      |
      | 5    | 1 2 4     | 2400  | 100  | 2400  | 0 1 2 3 4   | 0 1 2 4   | 3        |

  Scenario: A member that lost its vote gets it again once it answers and holds every committed entry
    Given a control core that is the leader among 4 members
    When for 3000 ms only members "1 2" answer the control core
    Then members "0 1 2" of the control core vote, and "3" do not
    When member 3 answers the control core
    Then members "0 1 2 3" of the control core vote, and "" do not

  Scenario: A member that answers now and then keeps its vote
    Given a control core that is the leader among 4 members
    When for 60000 ms all 4 members answer the control core, member 3 only each 1500 ms
    Then members "0 1 2 3" of the control core vote, and "" do not
    And the control core wrote 0 changes of members since its founding

  Scenario: A new member takes the vote of one that is gone
    Given a control core that is the leader among 3 members
    When the control core is asked to admit a new member 7
    And for 3000 ms only members "1 7" answer the control core
    Then members "0 1 7" of the control core vote, and "2" do not

  Scenario: A new member that lacks a committed entry gets no vote
    Given a control core that is the leader among 3 members
    When the control core is asked to admit a new member 7
    And for 50 ms only members "1 2" answer the control core
    And for 2000 ms members "1 2 7" answer the control core, but lack its last entry
    Then members "0 1 2" of the control core vote, and "7" do not
    When member 7 answers the control core
    Then members "0 1 2 7" of the control core vote, and "" do not

  Scenario: A new member that held every entry but has fallen silent gets no vote
    Given a control core that is the leader among 3 members
    When the control core is asked to admit a new member 7
    And member 7 answers the control core
    And for 1300 ms members "1 2" answer the control core, but lack its last entry
    And for 500 ms only members "1 2" answer the control core
    Then members "0 1 2" of the control core vote, and "7" do not
    When member 7 answers the control core
    Then members "0 1 2 7" of the control core vote, and "" do not

  Scenario: No vote is taken while another change is pending
    Given a control core that is the leader among 4 members
    When for 2000 ms only members "1 2" answer the control core
    And the control core is asked to admit a new member 7
    And for 2000 ms members "1 2" answer the control core, but lack its last entry
    Then members "0 1 2 3" of the control core vote, and "7" do not
    And the control core wrote 1 changes of members since its founding
    When for 100 ms only members "1 2" answer the control core
    Then members "0 1 2" of the control core vote, and "3 7" do not

  Scenario: A leader that was paused takes no votes by its own silence
    Given a control core that is the leader among 4 members
    When for 1000 ms only members "1 2 3" answer the control core
    And the control core is paused for 5000 ms and gets an answer of member 1 to its latest round
    Then the control core wrote 0 changes of members since its founding

  Scenario: Seven members vote, and a further one only in the place of another
    Given a control core that is the leader among 7 members
    When the control core is asked to admit a new member 8
    Then the control core accepts the change
    When for 5000 ms only members "1 2 3 4 5 6 8" answer the control core
    Then members "0 1 2 3 4 5 6" of the control core vote, and "8" do not
    When for 3000 ms only members "1 2 3 5 6 8" answer the control core
    Then members "0 1 2 3 5 6 8" of the control core vote, and "4" do not
    When for 5000 ms only members "1 2 3 4 5 6 8" answer the control core
    Then members "0 1 2 3 5 6 8" of the control core vote, and "4" do not

  Scenario Outline: A group has at most twelve members
    Given a control core that is the leader among <size> members
    When the control core is asked to admit a new member 20
    Then the control core refuses with "tooMany"

    Examples:
      | size |
      | 12   |
      | 13   |
