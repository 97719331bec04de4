Feature: A steward opens its data folder again after its disk was full
  A failure can come at any moment: while the folder is opened, while another opening is closed, or later.

  @no-site
  Scenario Outline: A disk that fails <moment> is followed by one more opening, and only one is in use
    When a component is opened on a disk that fails <moment>
    Then the last opening of the component is in use, and never were two at once

    Examples:
      | moment                                          |
      | once, while it is in use                        |
      | while it is opened for the first time           |
      | while it is opened again                        |
      | so that opening it again throws                 |
      | so that closing it throws                       |

  @no-site
  Scenario Outline: A component that the group replaces begins anew in the same process
    When the group replaces a component <moment>, <openings> openings and <deletions> deletions of its data follow
    Then the last opening of the component is in use, and never were two at once

    Examples:
      | moment                                           | openings | deletions |
      | while it is in use                               | 1        | 1         |
      | while it is opened                               | 1        | 1         |
      | twice                                            | 2        | 2         |
      | and its data can be deleted only the second time | 1        | 2         |

  @no-site
  Scenario: A component is open in the end after any series of failures and replacements
    When a component is opened on disks that fail at random moments
    Then the last opening of the component is in use, and never were two at once

  @no-site
  Scenario: A component that is stopped while it is opened again is closed
    When a component is stopped while it is opened again
    Then none of its openings is left
