Feature: An upstream that was acknowledged as draining or gone never becomes ready again

  # Guards against DRAIN: requests that reach an upstream after its leave was acknowledged, because a late announcement,
  # a restart under the same id or a new leader brought it back.

  Scenario: All orders of announcements, leaves, restarts, silence and new leaders
    Given all orders of 4 events of three starts, two of them with the same id and all at one address
    Then in each order no start that was acknowledged as draining or gone is ready, and the newest other one is

  Scenario: Long random orders of the same events
    Given 4000 random orders of 16 events of these starts
    Then in each order no start that was acknowledged as draining or gone is ready, and the newest other one is
