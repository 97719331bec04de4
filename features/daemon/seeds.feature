Feature: Processes learn the members of the group from new settings and from every answer

  @no-site
  Scenario Outline: Settings that are read again <what>
    Given a process whose settings name the seeds "10.1.0.1 10.1.0.2" as a <role>
    When its settings are read again and name the seeds "<seeds>"
    Then the seeds in force are "<result>", and <changes> change of them was told

    Examples:
      | what                             | role    | seeds             | result                      | changes |
      | replace the seeds                | gateway | 10.1.0.2 10.1.0.7 | 10.1.0.2:7200 10.1.0.7:7200 | 1       |
      | replace the seeds                | steward | 10.1.0.2 10.1.0.7 | 10.1.0.2:7200 10.1.0.7:7200 | 1       |
      | name the same seeds              | gateway | 10.1.0.1 10.1.0.2 | 10.1.0.1:7200 10.1.0.2:7200 | 0       |
      | name none leave the former ones  | gateway |                   | 10.1.0.1:7200 10.1.0.2:7200 | 0       |

  @no-site
  Scenario: A referrer whose seeds are all gone finds the leader through a gateway that polled it
    Given a referrer whose seeds "10.1.0.1:7200 10.1.0.2:7200" are gone, and which the gateway "10.2.0.1:7215" polled
    When that gateway tells the referrer the members "10.1.0.7:7200", and this member tells it of the leader "10.1.0.7:7200"
    Then the referrer asked that gateway and that member, and names the leader "10.1.0.7:7200"

  @no-site
  Scenario: A founder waits for each seed of its start, as founders with different lists could found two groups
    Given a founder at "10.1.0.1:7200" that asks the seeds "10.1.0.1:7200 10.1.0.9:7200"
    When the seed "10.1.0.2:7200", which isn't among them, tells the founder that it has a disk
    Then the founder still asks "10.1.0.9:7200" alone
    When the seed "10.1.0.9:7200", which is among them, tells the founder that it has a disk
    Then the founder finds the founders "10.1.0.1:7200 10.1.0.9:7200"

  @no-site
  Scenario: A steward whose seeds all lost their disks asks a member that looks for them, or it never joins again
    Given a steward at "10.1.0.1:7200" that looks for the group at the seeds "10.1.0.1:7200 10.1.0.2:7200"
    When the member "10.1.0.7:7200", which isn't a seed, looks for the group there
    Then that steward asks "10.1.0.7:7200", and takes the members "10.1.0.7:7200 10.1.0.8:7200" that it names

  @no-site
  Scenario: Seeds without a disk know nobody after a loss of power, so that no gateway finds the group again
    Given a referrer whose seeds are the diskless "10.1.0.5:7200 10.1.0.6:7200", as after a loss of power
    When a steward at "10.1.0.1:7200" with those seeds leads the members "10.1.0.1:7200 10.1.0.2:7200"
    Then the leader tells only "10.1.0.5:7200 10.1.0.6:7200" who belongs to the group
    And the referrer that it told names the leader "10.1.0.1:7200" and those members
