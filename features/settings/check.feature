Feature: Settings are validated before a process starts
  An invalid settings file is refused with the file, the key, the found value, the allowed values and the remedy.

  Scenario Outline: The file has <flaw>
    Given a valid settings file
    When the settings line "<line>" becomes "<change>"
    Then the problems in the settings match the snapshot

    Examples:
      | flaw                     | line                               | change                          |
      | a section missing        | [peer]                             |                                 |
      | an unknown key           | zone = cyberjaya                   | zone = cyberjaya\nzoen = x      |
      | an unknown role          | roles = entry, control             | roles = entry, king             |
      | a zone with blanks       | zone = cyberjaya                   | zone = Cyber Jaya               |
      | a name for an address    | listen = 127.0.0.1:7400            | listen = localhost:7400         |
      | a share that is text     | probe_share = 0.01                 | probe_share = plenty            |
      | a share out of range     | probe_share = 0.01                 | probe_share = 3                 |
      | a short secret           | secret = a secret of the site      | secret = short                  |
      | no data folder           | data_folder = data                 |                                 |
      | an unknown stale policy  | stale_policy = refuse              | stale_policy = hope             |
      | an operator token absent | operator_token = an operator token |                                 |

  Scenario: A valid file is accepted with its defaults
    Given a valid settings file
    Then the accepted settings match the snapshot

  Scenario: A missing file
    When the settings file "absent.ini" is loaded
    Then the problems in the settings match the snapshot
