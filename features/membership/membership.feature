Feature: Membership of upstreams and entries
  Upstreams announce themselves at any entry, and all entries agree on who is there.

  Scenario: An announcement reaches every entry
    Given 22 entries in 3 zones
    When upstream "u1" announces itself at entry 5
    And 2000 ms of membership pass
    Then every entry lists the upstreams "u1"

  Scenario: An announcement that is not renewed lapses after its lease
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 5
    And 6900 ms of membership pass
    Then every entry lists the upstreams "u1"
    When 2500 ms of membership pass
    Then every entry lists the upstreams ""

  Scenario: Renewals through changing entries change no record
    Given 6 entries in 3 zones
    When upstream "u1" renews every 2000 ms at a random entry for 30000 ms
    Then every entry lists the upstreams "u1"
    And the record of "u1" was written once

  Scenario: The upstreams of a killed entry stay listed and move
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 5
    And upstream "gone" announces itself at entry 5
    And 2000 ms of membership pass
    When entry 5 is killed
    And upstream "u1" renews every 2000 ms at a random entry for 20000 ms
    Then upstream "u1" was never missing at a running entry
    And every entry lists the upstreams "u1"

  Scenario: A one-way cut makes no entry suspect
    Given 6 entries in 3 zones
    And messages from entry 0 to entry 1 are cut
    When 20000 ms of membership pass
    Then no entry was ever held to be suspect
    And no entry was ever held to be dead

  Scenario: A freeze of 3 s makes no entry dead
    Given 6 entries in 3 zones
    When entry 3 is frozen for 3000 ms
    And 20000 ms of membership pass
    Then no entry was ever held to be dead

  Scenario: An entry that was frozen holds that against no upstream
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 3
    And 4500 ms of membership pass
    When entry 3 is frozen for 3500 ms
    And 4000 ms of membership pass
    Then every entry lists the upstreams "u1"

  Scenario: A lost zone is noticed and its return too
    Given 22 entries in 3 zones
    When the entries of zone 1 are killed
    And 8000 ms of membership pass
    Then every entry holds exactly the running ones to be alive
    When the entries of zone 1 start again
    And 4000 ms of membership pass
    Then every entry holds exactly the running ones to be alive

  Scenario: Parted regions find each other again
    Given 22 entries in 3 zones
    And upstream "u1" renews at entry 0 from now on
    And upstream "u2" renews at entry 1 from now on
    When zone 1 is parted from the others
    And 60000 ms of membership pass
    Then entry 0 lists the upstreams "u1"
    And entry 1 lists the upstreams "u2"
    When the parted zones are joined
    And 20000 ms of membership pass
    Then every entry lists the upstreams "u1 u2"
    And every entry holds exactly the running ones to be alive
    And all entries have the same hash

  Scenario: A restarted upstream is not taken for its old self
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces itself at entry 3 as incarnation 6
    And 1000 ms of membership pass
    Then every entry knows incarnation 7 of "u1"

  Scenario: An upstream that left does not come back as the same process
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" says at entry 4 that incarnation 7 leaves
    And upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    Then every entry holds "u1" to be leaving

  Scenario: A parted zone does not undo that an upstream leaves
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 0
    And 1000 ms of membership pass
    When zone 1 is parted from the others
    And upstream "u1" says at entry 1 that incarnation 1 leaves
    And upstream "u1" announces itself at entry 0 with 8 slots
    And upstream "u1" announces itself at entry 0 with 9 slots
    And the parted zones are joined
    And 4000 ms of membership pass
    Then every entry holds "u1" to be leaving

  Scenario: A stopping entry is known everywhere
    Given 22 entries in 3 zones
    When entry 4 says that it stops
    And 2000 ms of membership pass
    Then every entry holds entry 4 to be stopping

  Scenario: A request that kills is refused everywhere after three victims
    Given 6 entries in 3 zones
    When the fingerprint "killer" crashes upstreams "a b" as seen by entry 1
    And 1000 ms of membership pass
    Then no entry refuses "killer"
    When the fingerprint "killer" crashes upstreams "a c" as seen by entry 3
    And 1000 ms of membership pass
    Then every entry refuses "killer"

  Scenario: Innocent requests on crashed upstreams are not condemned
    Given 6 entries in 3 zones
    When the fingerprint "killer" crashes upstreams "a b" as seen by entry 1
    And the fingerprint "killer" crashes upstreams "c d" as seen by entry 2
    And the fingerprint "popular" crashes upstreams "a b" as seen by entry 1
    And the fingerprint "popular" crashes upstreams "c d" as seen by entry 2
    And the fingerprint "rare" crashes upstreams "a b" as seen by entry 1
    And 1000 ms of membership pass
    And a request with the fingerprint "popular" ends well at entry 5
    And 1000 ms of membership pass
    Then every entry refuses "killer"
    And no entry refuses "popular"
    And no entry refuses "rare"

  Scenario: Lost connections to upstreams that run on condemn nothing
    Given 6 entries in 3 zones
    And upstream "u1" renews at entry 0 from now on
    And upstream "u2" renews at entry 1 from now on
    And upstream "u3" renews at entry 2 from now on
    And 4000 ms of membership pass
    When the fingerprint "unlucky" crashes upstreams "u1 u2 u3" as seen by entry 1
    And 10000 ms of membership pass
    Then no entry refuses "unlucky"

  Scenario: A request that ends well after all is no longer refused
    Given 6 entries in 3 zones
    When the fingerprint "fixed" crashes upstreams "a b c" as seen by entry 1
    And 1000 ms of membership pass
    Then every entry refuses "fixed"
    When a request with the fingerprint "fixed" ends well at entry 5
    And 1000 ms of membership pass
    Then no entry refuses "fixed"

  Scenario: A randomised run keeps the invariants and ends in agreement
    Then seeded runs of 9 membership entries under kills, cuts, freezes and doubled messages agree in the end

  Scenario: Two entries meet over the mesh
    Given two memberships over loopback
    When an upstream announces itself at the second one
    Then the first one lists it and knows both entries

  Scenario: An entry whose first questions are lost asks again until it knows what the others know
    Given 3 entries in 3 zones
    And upstream "u1" announces itself at entry 1
    And 2000 ms of membership pass
    When entry 0 starts again while nothing that is sent to it arrives
    And 400 ms of membership pass
    Then entry 0 has not joined
    When what is sent to entry 0 arrives again
    And 1200 ms of membership pass
    Then entry 0 has joined and lists the upstreams "u1"

  Scenario: Entries that start together need no other entry to join
    Given 3 entries in 3 zones
    Then entry 0 has joined and lists the upstreams ""
    And entry 1 has joined and lists the upstreams ""

  Scenario: An entry that is joining itself doesn't make another one join
    Given 4 entries in 3 zones
    And upstream "u1" announces itself at entry 1
    And 2000 ms of membership pass
    And messages from entry 1 to entry 0 are cut
    And messages from entry 3 to entry 0 are cut
    When the entries 0 and 2 start again together
    And 300 ms of membership pass
    Then entry 0 has not joined

  Scenario: A peer that could not be reached gets an answer as soon as it calls
    Given a mesh end whose peer does not run yet
    When it sends to the peer, and the peer starts and asks it right after the failure
    Then the peer gets the answer
