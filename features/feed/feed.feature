Feature: The feed between control members and entries

  Scenario Outline: A process that looks for the group is told addresses that it can dial
    Given a feed publisher of a control member that is "<role>" and knows the members "<members>"
    When a process asks it for the members of the group
    Then it is told "10.1.0.18:7200 10.2.0.34:7200"

    Examples:
      | role     | members                                   |
      | newborn  | 10.1.0.18:7200 10.2.0.34:7200             |
      | follower | 10.1.0.18:7200#5f1e0c9a 10.2.0.34:7200#11 |
