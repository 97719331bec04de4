Feature: Claims of idempotency keys
  Of all requests with one key, at most one is sent on, through whichever entries they come.

  Scenario: A second request is told what became of the first
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted running"
    When 400 ms of claims pass
    And key "hold-1" is claimed at entry 2
    Then the claims ended "granted running unknown"
    When the granted claim of "hold-1" is settled as answered
    And key "hold-1" is claimed at entry 3
    And key "hold-1" is claimed at entry 3 for another request
    Then the claims ended "granted running unknown settled mismatch"

  Scenario: A request that was not run releases its key
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And the granted claim of "hold-1" is settled as not run
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted granted"

  Scenario: Of claims made at once exactly one is granted
    Given 6 entries that answer for claims
    Then of 40 keys claimed at 5 entries at once each is granted once

  Scenario: Of two claims made at once one is granted although a claimant is gone
    Given 3 entries that answer for claims
    When entry 2 loses its claims
    Then of 40 keys claimed at 2 entries at once each is granted once

  Scenario: Claims are granted while a zone is away, and not while two are
    Given 6 entries that answer for claims
    When entry 0 loses its claims
    And entry 3 loses its claims
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted"
    When entry 2 loses its claims
    And entry 5 loses its claims
    And key "hold-2" is claimed at entry 1
    Then the claims ended "granted unavailable"

  Scenario: Claimants that restart from nothing one after another do not forget
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And each entry but 0 restarts from nothing in turn, under a new roster each time
    And key "hold-1" is claimed at entry 1
    Then the claims ended "granted unknown"
    And every entry is ready

  Scenario: A roster without the zone keeps the claims
    Given 9 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And the roster drops the entries of zone 1
    And the roster drops the entries of zone 2
    And key "hold-1" is claimed at entry 3
    Then the claims ended "granted unknown"

  Scenario: After the loss of two zones at once keys are refused for the lifetime of a claim
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And the entries of zones 1 and 2 restart from nothing under a new roster
    And key "hold-1" is claimed at entry 0
    Then the claims ended "granted unavailable"
    When 22000 ms of claims pass
    And key "hold-2" is claimed at entry 1
    Then the claims ended "granted unavailable granted"

  Scenario: After the loss of two claimants in two zones only their keys are refused
    Given 9 entries that answer for claims
    When 60 keys are claimed at entry 0
    And entries 1 and 2 restart from nothing under a new roster
    Then none of the keys is granted again
    And some of 60 new keys are refused and most are granted
    When the same roster is agreed under a new epoch
    Then none of the keys is granted again

  Scenario: A holder frozen beyond its validity does not use the grant
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0 which freezes for 600 ms
    Then every grant was still valid when it was given

  Scenario: Claimants that the control cannot reach stop recording
    Given 6 entries that answer for claims
    When the control cannot reach any entry for 1500 ms
    And key "hold-1" is claimed at entry 0
    Then the claims ended "unavailable"

  Scenario: A claimant in an earlier epoch is not counted
    Given 6 entries that answer for claims
    When the control cannot reach entries 1 and 2
    And the roster drops the entries of zone 0
    And key "hold-1" is claimed at entry 0
    Then no claim was granted

  Scenario: A claimant that has not entered the epoch does not answer for it
    Given 6 entries that answer for claims
    When key "hold-1" is claimed at entry 0
    And the roster keeps only entries that are no claimants of "hold-1" and that do not hear of it
    And key "hold-1" is claimed at an entry that the roster dropped
    Then the claims ended "granted unavailable"

  Scenario Outline: An epoch that became ready unheard is not skipped
    Given claims in a second epoch granted where entry 0 reported and never got ready
    And entry 5 <fate>
    When a third epoch hears only entry 0 and one that knows the first epoch alone
    And key "hold-1" is claimed at entry 4
    Then the claims ended "granted unavailable"

    Examples:
      | fate                  |
      | is cut off            |
      | restarts from nothing |

  Scenario: A randomised run never sends a key twice
    Then seeded runs of claims under losses, cuts, freezes, restarts and new rosters send no key twice

  Scenario: A claim is granted and replayed over the mesh
    Given three claim services over loopback
    When a key is claimed at the first, settled, and claimed at the second
    Then the second claim replays the answer of the first

  Scenario: The table of claims behaves as a map
    Then the claim table equals a plain map after any updates
