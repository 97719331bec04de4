Feature: The data folder of a control member
  Synced data is read back or its loss is reported. Damaged data is never skipped silently.

  Scenario: Entries, votes and replaced entries are read back
    Given a control folder with entries 1 to 6
    When the control folder replaces the entries from 4 on by 2 entries of term 9
    And the control folder votes in term 9
    Then the control folder reads back entries 1 to 5 of terms "1 1 1 9 9"
    And the control folder reads back the vote

  Scenario: A torn write at the end of the log is truncated
    Given a control folder with entries 1 to 6
    When the last control segment grows by half a record
    Then the control folder reports a torn write and no damage
    And the control folder reads back entries 1 to 6 of terms "1 1 1 1 1 1"

  Scenario Outline: <damage> is reported, and the member does not vote until repaired
    Given a control folder with entries 1 to 6
    When the control folder suffers "<damage>"
    Then opening the control folder as the only member fails, naming "<file>" and the remedy
    And opening it as one of several members reports damage in "<file>" and keeps <kept> entries
    And the control folder stays under repair when it is opened again

    Examples:
      | damage                     | file | kept |
      | a flipped byte in entry 3  | log- | 2    |
      | a synced tail that is gone | log- | 5    |
      | a flipped byte in entry 6  | log- | 5    |

  Scenario: A damaged snapshot is reported and no entries are kept
    Given a control folder with entries 1 to 6
    When the control folder saves a snapshot at entry 6
    And the control folder suffers "a flipped byte in the snapshot"
    Then opening the control folder as the only member fails, naming "snapshot-" and the remedy
    And opening it as one of several members reports damage in "snapshot-" and keeps 0 entries

  Scenario Outline: A member with a damaged <file> does not start
    Given a control folder with entries 1 to 6
    When the control file "<file>" is damaged
    Then opening the control folder as the only member fails, naming "<file>" and the remedy

    Examples:
      | file          |
      | vote.json     |
      | identity.json |

  # Guards against a founder that never starts again, as its record of the founding hid that its folder holds no state.
  Scenario: A first start that is interrupted anywhere is gone on with
    Given a control folder that holds only the record of the founding
    When its first start is interrupted at each operation in turn, and made again
    Then each of the second starts has an identity, no entries and no damage

  Scenario Outline: A folder without an identity that holds <state> is reported
    Given a control folder with entries 1 to 6
    When the control folder loses all files but "<state>"
    Then opening the control folder as the only member fails, naming "identity.json" and the remedy

    Examples:
      | state                |
      | vote.json of term 3  |
      | a log                |
      | the record of a sync |

  Scenario: Segments and snapshots that a new snapshot covers are removed
    Given a control folder with entries 1 to 6
    When the control folder saves a snapshot at entry 4
    And the control folder saves a snapshot at entry 6
    Then the control folder holds 1 snapshot and 1 segment
    And the control folder reads back the snapshot at entry 6

  Scenario: A folder that took over a snapshot from the leader opens without damage
    Given a control folder with entries 1 to 6
    When the control folder takes over a snapshot at entry 20, and 3 entries after it
    Then the control folder reads back no damage and entries 21 to 23

  Scenario: A folder whose base record holds more than a base, as earlier versions wrote it, opens without damage
    Given a control folder with entries 1 to 6
    When the control folder takes over a snapshot at entry 20, and 3 entries after it, by an earlier version
    Then the control folder reads back no damage and entries 21 to 23

  Scenario: A member whose disk fails accepts nothing, and the others continue
    Given a control group of 3
    When the control group accepts 2 numbers
    And the disk of the control leader fails
    Then the failed control member accepts nothing and names the remedy
    When the control group accepts 2 numbers
    Then the other control members apply every accepted number

  Scenario: A member with a damaged log is repaired by the others before it votes
    Given a control group of 3
    When the control group accepts 6 numbers
    And control member 0 stops, has a byte of its log flipped and starts again
    Then control member 0 reports the damage and then the repair
    And every control member applies every accepted number

  Scenario: A disk that is full for a time damages nothing and loses nothing that was acknowledged
    When a control folder is written while its disk is full from any operation on
    Then it always opens again without damage, with each acknowledged write, all of it synced
