Feature: A group of control members says when it can't bear the losses that its settings name
  A group of four once ran where two were to be borne; nothing said so until two disks were lost and it stopped for good.

  @no-site
  Scenario Outline: A group of <voters> voters, <current> of them up to date, bears the loss of <bearable>
    Given a control leader with <voters> voters, <current> of them up to date, whose settings name 2 losses
    Then the control group is judged to bear the loss of <bearable>, of 2

    Examples:
      | voters | current | bearable |
      | 3      | 3       | 1        |
      | 4      | 4       | 1        |
      | 5      | 5       | 2        |
      | 5      | 4       | 1        |
      | 6      | 6       | 2        |
      | 7      | 7       | 3        |
      | 7      | 4       | 0        |
      | 5      | 2       | 0        |

  @no-site
  Scenario: A voter that is silent or lacks a committed entry counts as lost
    Given a control leader of 5 voters of which one is silent and one lacks a committed entry
    Then that control leader counts 3 voters as up to date

  @no-site
  Scenario: Only changes of the judgement are logged, with what an operator can do
    When the voters that a control leader counts as up to date are 5, then 4, then 4, then 5 of 5, and 2 losses are to be borne
    Then the logged judgements match the snapshot

  Scenario Outline: chivewalkd --check names a list of members that is too short for <tolerated> losses
    When chivewalkd checks settings with <members> control members and <tolerated> tolerated losses
    Then the output of the check has a warning: <warning>

    Examples:
      | members | tolerated | warning                                                      |
      | 3       | 1         | none                                                         |
      | 3       | 2         | 3 control members bear the loss of 1, not of 2: list 5       |
      | 4       | 2         | 4 control members bear the loss of 1, not of 2: list 5       |
