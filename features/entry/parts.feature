@entry
Feature: Address selection, probes and request targets of the entry

  Scenario: Addresses are spread, the caller's zone first, without zones taken out
    When addresses are picked 3000 times from 3 entries in each of "klang, putrajaya, cyberjaya"
    Then their zones for a caller in klang match the snapshot
    And each entry of klang comes first in 28 to 39 of 100 lists

  Scenario Outline: A probe of an upstream that <behaviour>
    When the entry probes an upstream that "<behaviour>"
    Then the probe reports it as <health> with load "<load>"

    Examples:
      | behaviour           | health    | load                       |
      | is healthy          | healthy   | in-flight 3, queued 1      |
      | is cold             | healthy   | in-flight 0, queued 0 cold |
      | reports invalid load | healthy   | none                       |
      | answers 503         | unhealthy | in-flight 6, queued 9      |
      | refuses connections | unhealthy | none                       |
      | never answers       | unhealthy | none                       |

  Scenario: Request targets
    When a table of request targets is parsed
    Then the parsed targets match the snapshot
