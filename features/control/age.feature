Feature: The age of a control member's state
  A member's state is current at most as of an instant that an answer of a majority proves.

  Scenario: While nothing is wrong, every member's state is younger than three heartbeats
    Given three control members that know the age of their states
    When 2000 ms pass at the members that know their ages
    Then the age of the state is at most 450 ms at each member

  Scenario Outline: A state never looks younger than it is after <what>
    Given three control members that know the age of their states
    When at a follower that knows its age <what>
    Then that follower's state is at least <least> ms old, and is at most 450 ms old 2000 ms later

    Examples:
      | what                                                        | least |
      | a pause of 5000 ms ends, and it reads what came before it    | 5000  |
      | a suspension of 5000 ms ends, and it reads what came before  | 5000  |
      | a cut from the leader of 900 ms ends                         | 900   |
      | heartbeats come for 900 ms, but no entries                   | 900   |
      | a restart ends, and heartbeats for the former process come   | 99999 |

  Scenario: The state of a leader that the others don't hear grows old at it, and at the follower that hears it
    Given three control members that know the age of their states
    When 1000 ms pass while the leader that knows its age gets no answers, but is heard by one follower
    Then the age of the state is at least 1000 ms at the leader and at that follower
