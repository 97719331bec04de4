Feature: Usage reports
  The platform gets the number of each client account's requests in each window: counted at gateways, committed and
  sealed by the leader, and sent with a fencing token.

  Scenario: A gateway's counts reach the platform through the feed, the group and the call
    Given a usage site of one gateway, a member that follows and a member that leads
    When the usage account "ana" sends 3 requests and the usage account "bo" 1, and 12 s pass
    Then the usage platform has accepted "ana 3, bo 1" once
    And the usage gateway keeps no batch

  Scenario: A gateway's messages stay as they are without usage
    Given a usage site of one gateway, a member that follows and a member that leads
    When no usage account sends a request, and 12 s pass
    Then no feed message of the usage site names usage

  Scenario: Gateways get neither usage commands nor the usage state
    Given a usage site of one gateway, a member that follows and a member that leads
    When the usage account "ana" sends 3 requests and the usage account "bo" 1, and 12 s pass
    And the usage group commits that zone "b" is out
    Then the usage gateway has that zone "b" is out, and no usage state
    And no feed message to the usage gateway holds the text "ana"

  Scenario: The whole state that a gateway gets leaves usage out
    Then the feed's encoding of a state with usage is that of the state without it

  Scenario: A batch that comes again is counted once
    Then usage batches 1 and 2 that come twice, before and after their commit, are counted once

  Scenario: A command that was built before another one was committed changes nothing
    Then a usage command whose batches are committed is refused and changes nothing

  Scenario: The counts of a sealed window never change
    Then a usage batch for a sealed window is dropped and counted as late

  Scenario: The usage state stays small
    Then usage commands of 400 windows and 3000 gateway starts leave 12 sealed windows and at most 1024 starts

  Scenario Outline: An attempt counts if it may have run
    Then a usage attempt that ended as "<outcome>" counts <count>

    Examples:
      | outcome     | count |
      | answered    | 1     |
      | lost        | 1     |
      | cancelled   | 1     |
      | notRun      | 0     |
      | unreachable | 0     |

  Scenario: An attempt counts in the window in which it was sent
    Then a usage attempt that was sent 1 ms before the end of window 7 and ended 4 s later counts in window 7

  Scenario: A request without an account isn't counted
    Then a usage attempt without an account isn't counted

  Scenario: Counts that wait for their commit are bounded
    Then a usage counter that gets no receipt for 10 minutes keeps at most 5 batches and 24 windows in the last

  Scenario: The last counts of a gateway that stops are sent at once
    Then a usage counter that sent a batch 10 ms ago and is flushed sends the counts since then

  Scenario: The settings of usage reports
    Then a gateway and a steward may have usage settings, with an address by name or by number

  Scenario Outline: A malformed delivery doesn't enter the state
    Then a feed message with the usage <delivery> is <verdict>

    Examples:
      | delivery                                                                             | verdict |
      | {"source":"g/1","batches":[{"number":1,"counts":[[7,[["ana",2]]]]}]}                 | taken   |
      | {"source":"g/1","batches":[{"number":1,"counts":[]},{"number":2,"counts":[]}]}       | taken   |
      | {"source":"g/1","batches":[{"number":2,"counts":[]},{"number":1,"counts":[]}]}       | dropped |
      | {"source":"g/1","batches":[{"number":0,"counts":[]}]}                                | dropped |
      | {"source":"g/1","batches":[{"number":1,"counts":[[7,[["ana",-2]]]]}]}                | dropped |
      | {"source":"g/1","batches":[{"number":1,"counts":[[7.5,[["ana",2]]]]}]}               | dropped |
      | {"source":"g/1","batches":[{"number":1,"counts":[[7,{"ana":2}]]}]}                   | dropped |
      | {"source":"g/1","batches":[{"number":1,"counts":[[7,[[1,2]]]]}]}                     | dropped |
      | {"source":1,"batches":[]}                                                            | dropped |
      | {"batches":[]}                                                                       | dropped |
      | []                                                                                   | dropped |

  Scenario: A leader seals nothing before it has collected for 2.5 s
    Then a usage leader that takes over 20 s after the end of a window seals it 2.5 s later

  Scenario: A leader whose clock is ahead seals no window in use
    Then a usage leader whose clock is 1 hour ahead seals a window 1.5 s after its last counts

  Scenario: A holder reports only after it has led for the lease
    Then a usage leader takes the duty 3 s after it began to lead

  Scenario: A holder that the platform refused doesn't call with that token again
    Then a usage holder that got 409 for token 1 calls next with token 3, and after another 409 with token 7

  Scenario: A holder whose confirmation came late confirms again
    Then a usage holder that stood still between its read and the answer sends nothing

  Scenario: A holder that lost its duty sends nothing
    Then a usage holder that reads another holder's token sends nothing
