Feature: Settings are checked before a process starts
  A bad settings file is refused with the file, the key, what was found, what is allowed and the remedy.

  Scenario Outline: The file has <flaw>
    Given a good settings file
    When the settings line "<line>" becomes "<change>"
    Then the settings are refused as the snapshot says

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

  Scenario: A good file is accepted with its defaults
    Given a good settings file
    Then the settings are accepted as the snapshot says

  Scenario: A file that is not there
    When the settings file "absent.ini" is loaded
    Then the settings are refused as the snapshot says
