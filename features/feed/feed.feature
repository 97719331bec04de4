Feature: The feed between control members and entries

  Scenario Outline: A process that asks for the group's members receives addresses that it can connect to
    Given a feed publisher of a control member with role "<role>" and members "<members>"
    When a process asks it for the members of the group
    Then it receives the members "10.1.0.18:7200 10.2.0.34:7200"

    Examples:
      | role     | members                                   |
      | newborn  | 10.1.0.18:7200 10.2.0.34:7200             |
      | follower | 10.1.0.18:7200#5f1e0c9a 10.2.0.34:7200#11 |

  Scenario: A table of a thousand routes is sent in few bytes, and entries hold the same routes as the control members
    Given a catalog with 1040 routes added by one change, of which 3 are then changed and 2 removed
    When one entry is sent the whole state, and another one every change
    Then both hold the same routes, except for their source items
    And the changes and the state take at most 65536 bytes each
    When a change that was accepted before is sent to both again
    Then both hold the same routes, except for their source items

  Scenario: Entries that start with one seed spread over all members
    Given 40 entries that follow the seed "10.1.0.18:7200"
    When the seed sends them the members "10.1.0.18:7200 10.2.0.34:7200 10.3.0.12:7200 10.4.0.20:7200"
    Then each member is followed by at least 4 of the entries

  Scenario: Commands that are applied together reach followers in one message
    Given a feed publisher that the entry "10.4.0.20:7200" follows
    When the control member applies 88 commands at once
    Then the entry is sent 1 message with 88 commands

  Scenario: Large configurations kept for entries that lag do not exhaust the memory of a control member
    Given a feed publisher that the entry "10.4.0.20:7200" follows
    When the control member applies 300 configurations of 1400 routes
    Then an entry that has the first configuration is sent the whole state
    And the feed publisher keeps at most 4 MB of commands

  Scenario: An entry that catches up never acts on a state from between the commands of one update
    Given an entry whose view is observed
    When an update adds the routes of version 1, takes the zone "b" out, and takes it back
    Then the entry saw 1 change, to routes of version 1 and no zone out

  # A member without a leader may have restarted with a state from before the last acknowledged changes.
  Scenario: An entry doesn't start with the state of a control member that knows no leader
    Given an entry whose view is observed
    When a control member without a leader sends it the routes of version 1 whole, and the route commands of version 1
    Then the entry saw 0 changes
    When a control member with a leader sends it the routes of version 2 whole
    Then the entry saw 1 change, to routes of version 2 and no zone out

  Scenario Outline: Changes of entries are sent as a difference from the list that the follower has
    Given a feed publisher that knows 300 entries
    When <count> of the entries stop one after another, and the entry "10.4.0.20:7200" polls before and after
    Then the second update of its list takes at most <bytes> bytes, the first one more than 30000

    Examples:
      | count | bytes |
      | 1     | 400   |
      | 100   | 15000 |

  Scenario: A follower's list stays that of the publisher, although updates are lost and members restart
    Given a feed publisher whose followers join, change and leave at random, with seed 11
    When an entry polls it 400 times, every third update of which is lost
    Then after each update that arrives the entry has the publisher's list

  Scenario: Control members tell each other the changes of their followers
    Given two feed publishers, of which the first one is followed by 60 entries
    Then within 2000 ms the second one lists 60 entries
    And while nothing changes, a message about the followers takes at most 200 bytes
    When an entry stops, and the next 2 messages between the publishers are lost
    Then within 3000 ms the second one lists 60 entries, of which 59 are ready
    When 20 of the entries no longer poll
    Then within 4000 ms the second one lists 40 entries

  Scenario: Entries follow a control member of their own zone, as long as it answers
    Given 40 entries in zone "b" that follow the seed "10.1.0.18:7200"
    When the seed sends them 4 members, of which "10.2.0.34:7200" runs beside an entry of zone "b"
    Then all entries follow "10.2.0.34:7200"
    When that member is silent for 1000 ms, while the list of entries changes
    Then none of the entries follows "10.2.0.34:7200"

  Scenario: An entry without a state polls often, so that it serves soon after all processes restarted
    Given an entry whose view is observed
    Then it polls at least 6 times in 1000 ms
    When an update adds the routes of version 1, takes the zone "a" out, and takes it back
    Then it polls at most 5 times in 1000 ms
