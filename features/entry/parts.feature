@entry
Feature: Parts of the entry

  Scenario: Addresses are spread, nearest zone first, without zones that are out
    When addresses are picked 3000 times from 3 entries in each of "klang, putrajaya, cyberjaya"
    Then their zones for a caller in klang match the snapshot
    And each entry of klang is first for it in 28 to 39 of 100 answers

  Scenario Outline: A probe of an upstream that <behaviour>
    When the entry probes an upstream that "<behaviour>"
    Then the probe finds it <health> with load "<load>"

    Examples:
      | behaviour           | health    | load                       |
      | is well             | healthy   | in-flight 3, queued 1      |
      | is cold             | healthy   | in-flight 0, queued 0 cold |
      | reports nonsense    | healthy   | none                       |
      | answers 503         | unhealthy | in-flight 6, queued 9      |
      | refuses connections | unhealthy | none                       |
      | never answers       | unhealthy | none                       |

  Scenario: Targets
    When the targets of a table are parsed
    Then the entry's parts match the snapshot
