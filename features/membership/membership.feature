Feature: Membership of upstreams and entries
  Upstreams announce themselves at any entry, and all entries replicate the same membership.

  Scenario: An announcement reaches every entry
    Given 22 entries in 3 zones
    When upstream "u1" announces itself at entry 5
    And 2000 ms of membership pass
    Then every entry lists the upstreams "u1"

  Scenario: An announcement that is not renewed expires after its lease time
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 5
    And 6900 ms of membership pass
    Then every entry lists the upstreams "u1"
    When 2500 ms of membership pass
    Then every entry lists the upstreams ""

  Scenario: Renewals at changing entries do not change the record
    Given 6 entries in 3 zones
    When upstream "u1" renews every 2000 ms at a random entry for 30000 ms
    Then every entry lists the upstreams "u1"
    And the record of "u1" was written once

  Scenario: The upstreams of a killed entry stay listed and move to other entries
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 5
    And upstream "gone" announces itself at entry 5
    And 2000 ms of membership pass
    When entry 5 is killed
    And upstream "u1" renews every 2000 ms at a random entry for 20000 ms
    Then upstream "u1" was never missing at a running entry
    And every entry lists the upstreams "u1"

  Scenario: Message loss in one direction between two entries makes no entry suspect
    Given 6 entries in 3 zones
    And messages from entry 0 to entry 1 are cut
    When 20000 ms of membership pass
    Then no entry was ever marked suspect
    And no entry was ever marked dead

  Scenario: A freeze of 3 s makes no entry dead
    Given 6 entries in 3 zones
    When entry 3 is frozen for 3000 ms
    And 20000 ms of membership pass
    Then no entry was ever marked dead

  Scenario: A frozen entry does not expire the leases that it holds
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 3
    And 4500 ms of membership pass
    When entry 3 is frozen for 3500 ms
    And 4000 ms of membership pass
    Then every entry lists the upstreams "u1"

  Scenario: The loss and the return of a zone are detected
    Given 22 entries in 3 zones
    When the entries of zone 1 are killed
    And 8000 ms of membership pass
    Then every entry considers exactly the running ones alive
    When the entries of zone 1 start again
    And 4000 ms of membership pass
    Then every entry considers exactly the running ones alive

  Scenario: Partitioned zones merge after the partition
    Given 22 entries in 3 zones
    And upstream "u1" renews at entry 0 from now on
    And upstream "u2" renews at entry 1 from now on
    When zone 1 is partitioned from the others
    And 60000 ms of membership pass
    Then entry 0 lists the upstreams "u1"
    And entry 1 lists the upstreams "u2"
    When the partition ends
    And 20000 ms of membership pass
    Then every entry lists the upstreams "u1 u2"
    And every entry considers exactly the running ones alive
    And all entries have the same hash

  Scenario: An announcement of an older incarnation does not replace a restarted upstream
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces itself at entry 3 as incarnation 6
    And 1000 ms of membership pass
    Then every entry knows incarnation 7 of "u1"

  Scenario: An upstream that left does not come back with the same incarnation
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces at entry 4 that incarnation 7 is leaving
    And upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    Then every entry knows that "u1" is leaving

  # Guards against DRAIN: such a leave was acknowledged and had no effect.
  Scenario: An upstream that restarted and leaves before it announced itself is no longer listed
    Given 6 entries in 3 zones
    When upstream "u1" announces itself at entry 2 as incarnation 7
    And 1000 ms of membership pass
    And upstream "u1" announces at entry 4 that incarnation 8 is leaving
    And 1000 ms of membership pass
    And upstream "u1" announces itself at entry 2 as incarnation 8
    And 1000 ms of membership pass
    Then every entry knows that "u1" is leaving

  Scenario: A partitioned zone does not undo that an upstream is leaving
    Given 6 entries in 3 zones
    And upstream "u1" announces itself at entry 0
    And 1000 ms of membership pass
    When zone 1 is partitioned from the others
    And upstream "u1" announces at entry 1 that incarnation 1 is leaving
    And upstream "u1" announces itself at entry 0 with 8 slots
    And upstream "u1" announces itself at entry 0 with 9 slots
    And the partition ends
    And 4000 ms of membership pass
    Then every entry knows that "u1" is leaving

  Scenario: All entries know that an entry is stopping
    Given 22 entries in 3 zones
    When entry 4 announces that it is stopping
    And 2000 ms of membership pass
    Then every entry knows that entry 4 is stopping

  Scenario: A request is refused at every entry after it crashed three upstreams
    Given 6 entries in 3 zones
    When the fingerprint "killer" crashes upstreams "a b" as reported by entry 1
    And 1000 ms of membership pass
    Then no entry refuses "killer"
    When the fingerprint "killer" crashes upstreams "a c" as reported by entry 3
    And 1000 ms of membership pass
    Then every entry refuses "killer"

  Scenario: Requests that succeed elsewhere or ran on too few crashed upstreams are not quarantined
    Given 6 entries in 3 zones
    When the fingerprint "killer" crashes upstreams "a b" as reported by entry 1
    And the fingerprint "killer" crashes upstreams "c d" as reported by entry 2
    And the fingerprint "popular" crashes upstreams "a b" as reported by entry 1
    And the fingerprint "popular" crashes upstreams "c d" as reported by entry 2
    And the fingerprint "rare" crashes upstreams "a b" as reported by entry 1
    And 1000 ms of membership pass
    And a request with the fingerprint "popular" succeeds at entry 5
    And 1000 ms of membership pass
    Then every entry refuses "killer"
    And no entry refuses "popular"
    And no entry refuses "rare"

  Scenario: A quarantine takes a minute, and longer after the next crash
    Given 6 entries in 3 zones
    When the fingerprint "killer" crashes upstreams "a b c" as reported by entry 1
    And 59000 ms of membership pass
    Then every entry refuses "killer"
    When 4000 ms of membership pass
    Then no entry refuses "killer"
    When the fingerprint "killer" crashes upstreams "d" as reported by entry 3
    And 200000 ms of membership pass
    Then every entry refuses "killer"

  Scenario: Lost connections to upstreams that keep running quarantine no request
    Given 6 entries in 3 zones
    And upstream "u1" renews at entry 0 from now on
    And upstream "u2" renews at entry 1 from now on
    And upstream "u3" renews at entry 2 from now on
    And 4000 ms of membership pass
    When the fingerprint "unlucky" crashes upstreams "u1 u2 u3" as reported by entry 1
    And 10000 ms of membership pass
    Then no entry refuses "unlucky"

  Scenario: A quarantined request that succeeds is no longer refused
    Given 6 entries in 3 zones
    When the fingerprint "fixed" crashes upstreams "a b c" as reported by entry 1
    And 1000 ms of membership pass
    Then every entry refuses "fixed"
    When a request with the fingerprint "fixed" succeeds at entry 5
    And 1000 ms of membership pass
    Then no entry refuses "fixed"

  Scenario: Randomised runs keep the invariants and converge
    Then seeded runs of 9 membership entries with kills, cuts, freezes and duplicated messages converge

  Scenario: Two entries discover each other over the mesh
    Given two memberships over loopback
    When an upstream announces itself at the second entry
    Then the first entry lists it and knows both entries

  Scenario: An entry whose first join requests get no reply retries until it has joined
    Given 3 entries in 3 zones
    And upstream "u1" announces itself at entry 1
    And 2000 ms of membership pass
    When entry 0 starts again while all messages to it are lost
    And 400 ms of membership pass
    Then entry 0 has not joined
    When messages to entry 0 arrive again
    And 1200 ms of membership pass
    Then entry 0 has joined and lists the upstreams "u1"

  Scenario: Entries that start together need no other entry to join
    Given 3 entries in 3 zones
    Then entry 0 has joined and lists the upstreams ""
    And entry 1 has joined and lists the upstreams ""

  Scenario: A copy from an entry that is still joining does not complete the join of another one
    Given 4 entries in 3 zones
    And upstream "u1" announces itself at entry 1
    And 2000 ms of membership pass
    And messages from entry 1 to entry 0 are cut
    And messages from entry 3 to entry 0 are cut
    When the entries 0 and 2 start again together
    And 300 ms of membership pass
    Then entry 0 has not joined

  Scenario: A peer that was unreachable gets an answer as soon as it connects
    Given a mesh endpoint whose peer is not running yet
    When it sends to the peer, and the peer starts and sends a question right after the failure
    Then the peer gets the answer
