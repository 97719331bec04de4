Feature: Any two quorums of a group have a voter in common that still has its disk
  Half of four voters once decided nothing, however many of the others had lost their disks. Then two of the three voters
  that a group had just changed to decided nothing either, as they were half of the four before.

  @no-site
  Scenario Outline: <asked> of <voters> with <lost> lost, after the memberships <before>
    Then the control voters "<asked>" of "<voters>" <elect> a leader, with "<lost>" lost and "<before>" before

    Examples:
      | voters  | before                         | lost  | asked | elect        |
      | a b c   |                                |       | a b   | elect        |
      | a b c   |                                | b c   | a     | do not elect |
      | a b     |                                |       | a     | do not elect |
      | a b     |                                | b     | a     | elect        |
      | a b c d |                                |       | a b   | do not elect |
      | a b c d |                                | c     | a b   | elect        |
      | a b c d |                                | c d   | a b   | elect        |
      | a b c d |                                | b c d | a     | do not elect |
      | a b c   | a b c d                        |       | a b   | do not elect |
      | a b c   | a b c d                        | d     | a b   | elect        |
      | a b c   | a b c d                        |       | a b d | elect        |
      | a b c d | a b c                          | a b   | c d   | do not elect |
      | a b c d | a b c                          |       | a b d | elect        |
      | a b c d | a b c                          | c     | a b   | do not elect |
      | a b c d | a b c, a b c d                 | c     | a b   | elect        |
      | a b c   | a b c d, a b c                 |       | a b   | elect        |
      | b c d   | a b c, a b c d                 |       | c d   | elect        |
      | b c d   | a b c, a b c d                 | b     | c     | do not elect |
      | b c d   | a b c, a b c d, a b c d        |       | c d   | do not elect |
      | b c d   | a b c, a b c d, a b c d        | a     | c d   | elect        |
      | b c d   | a b c, a b c d, another leader |       | c d   | do not elect |
      | b c d   | a b c, a b c d, another leader | a     | c d   | elect        |

  @no-site
  Scenario Outline: Two sets of <size> voters that elect leaders at the same time have a voter in common
    Then any two sets of <size> control voters that elect leaders share one, if no voter that answered was lost before it was asked

    Examples:
      | size |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
