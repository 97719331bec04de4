Feature: Claims of idempotency keys
  Of all requests with the same key at most one is forwarded, whichever entries receive them.

  Scenario: A second request with the same key gets the outcome of the first
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted running"
    When 400 ms pass in the claim network
    And key "hold-1" is claimed at entry 2
    Then the claims ended "granted running unknown"
    When the granted claim of "hold-1" is settled as answered
    And key "hold-1" is claimed at entry 3
    And key "hold-1" is claimed at entry 3 for another request
    Then the claims ended "granted running unknown settled mismatch"

  Scenario: A request that did not run releases its key
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And the granted claim of "hold-1" is settled as not run
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted granted"

  Scenario: Of concurrent claims of a key exactly one is granted
    Given 6 entries that are ready to serve claims
    Then of 40 keys claimed concurrently at 5 entries each is granted once

  Scenario: Of two concurrent claims one is granted although a claimant lost its claims
    Given 3 entries that are ready to serve claims
    When entry 2 loses its claims
    Then of 40 keys claimed concurrently at 2 entries each is granted once

  Scenario: Claims are granted while one zone is unavailable, but not while two are
    Given 6 entries that are ready to serve claims
    When entry 0 loses its claims
    And entry 3 loses its claims
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted"
    When entry 2 loses its claims
    And entry 5 loses its claims
    And key "hold-2" is claimed at entry 1
    Then the claims ended "granted unavailable"

  Scenario: Claims survive when the claimants restart without state one after another
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And each entry but 0 restarts without state in turn, with a new roster each time
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted unknown"
    And every entry is ready

  Scenario: Claims survive rosters that drop one zone after another
    Given 9 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And the roster drops the entries of zone 1
    And the roster drops the entries of zone 2
    And key "hold-1" is claimed at entry 3
    Then the claims ended "granted unknown"

  Scenario: After two zones lose their state at the same time keys are refused for the lifetime of a claim
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And the entries of zones 1 and 2 restart without state under a new roster
    And key "hold-1" is claimed at entry 0
    Then the claims ended "granted unavailable"
    When 22000 ms pass in the claim network
    And key "hold-2" is claimed at entry 1
    Then the claims ended "granted unavailable granted"

  Scenario: After two entries in two zones lose their state only their keys are refused
    Given 9 entries that are ready to serve claims
    When 60 keys are claimed at entry 0
    And entries 1 and 2 restart without state under a new roster
    Then none of the keys is granted again
    And some of 60 new keys are refused and most are granted
    When the same roster is committed in a new epoch
    Then none of the keys is granted again

  Scenario: A holder that freezes beyond the validity of a grant does not get an expired grant
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0 which freezes for 600 ms
    Then every grant was still valid when it was returned

  Scenario: Claimants that the control group cannot reach stop recording
    Given 6 entries that are ready to serve claims
    When the control group cannot reach any entry for 1500 ms
    And key "hold-1" is claimed at entry 0
    Then the claims ended "unavailable"

  Scenario: A claimant in an earlier epoch is not counted
    Given 6 entries that are ready to serve claims
    When the control group cannot reach entries 1 and 2
    And the roster drops the entries of zone 0
    And key "hold-1" is claimed at entry 0
    Then no claim was granted

  Scenario: A claimant that has not entered the epoch does not answer for it
    Given 6 entries that are ready to serve claims
    When key "hold-1" is claimed at entry 0
    And the roster keeps only entries that are not claimants of "hold-1" and that do not receive it
    And key "hold-1" is claimed at an entry that the roster dropped
    Then the claims ended "granted unavailable"

  Scenario Outline: An epoch is not skipped if the reports of its ready members are missing
    Given a second epoch in which a key was claimed and entry 0 reported but never became ready
    And entry 5 <fault>
    When a third epoch gets reports only from entry 0 and from an entry that knows only the first epoch
    And key "hold-1" is claimed at entry 4
    Then the claims ended "granted unavailable"

    Examples:
      | fault                  |
      | is partitioned         |
      | restarts without state |

  Scenario: Randomised runs never send a key twice
    Then seeded runs with message loss, partitions, freezes, restarts and new rosters send no key twice

  Scenario: A claim is granted, settled and replayed over the mesh
    Given three claim services over loopback
    When a key is claimed at the first, settled, and claimed at the second
    Then the second claim replays the answer of the first

  Scenario: The claim table behaves like a map
    Then the claim table equals a plain map after any sequence of updates
