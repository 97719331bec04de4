Feature: A group of control members recovers after disks were lost while all its other members lost power
  Four stewards once ran where the loss of two was to be borne: the two that kept their disks stood for election for good.

  Scenario Outline: A group of <size> that loses <lost> disks while all members are down has a majority left
    Given a control group of <size>
    When the control group accepts 5 numbers
    And <lost> control members lose their disks while all others lose power
    Then within 15 s the control group accepts a number
    And every control member applies every accepted number
    And every control member votes

    Examples:
      | size | lost |
      | 3    | 1    |
      | 5    | 2    |

  Scenario Outline: A group of <size> that loses half of its disks while all members are down never has a leader again
    Given a control group of <size>
    When the control group accepts 5 numbers
    And <lost> control members lose their disks while all others lose power
    Then within 15 s the control group accepts a number
    And every control member applies every accepted number
    And every control member votes

    Examples:
      | size | lost |
      | 2    | 1    |
      | 4    | 2    |
      | 6    | 3    |

  Scenario: Half of the disks are lost and one other member stays silent
    Given a control group of 4
    When the control group accepts 5 numbers
    And 2 control members lose their disks while all others lose power, of which one stays down
    Then for 4 s the control group has no leader
