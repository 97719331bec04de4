Feature: The feed between control members and entries

  Scenario Outline: A process that looks for the group is told addresses that it can dial
    Given a feed publisher of a control member that is "<role>" and knows the members "<members>"
    When a process asks it for the members of the group
    Then it is told "10.1.0.18:7200 10.2.0.34:7200"

    Examples:
      | role     | members                                   |
      | newborn  | 10.1.0.18:7200 10.2.0.34:7200             |
      | follower | 10.1.0.18:7200#5f1e0c9a 10.2.0.34:7200#11 |

  Scenario: A table of a thousand routes reaches entries in few bytes, and they route as the control members do
    Given a catalog that got 1040 routes by one change and then had 3 of them changed and 2 removed
    When an entry is sent the whole state, and another one every change
    Then both hold the same routes, apart from the operators' own words
    And the changes took at most 65536 bytes, and the state as much
    When a change that was accepted before is sent to both once more
    Then both hold the same routes, apart from the operators' own words

  Scenario: Entries that know one seed spread over all members
    Given 40 entries that follow the seed "10.1.0.18:7200"
    When it tells them of the members "10.1.0.18:7200 10.2.0.34:7200 10.3.0.12:7200 10.4.0.20:7200"
    Then each member is followed by at least 4 of the entries
