Feature: Client accounts are part of the configuration
  A configuration without accounts is stored, sent and read as before.

  Scenario: A configuration with accounts reads back as it was put
    Given an accounts' configuration with the tenants "sese880: k-1 k-2, locu91: k-3" and a public route
    When the accounts' configuration is put
    Then the accounts' configuration reads back as it was put, also after a snapshot
    And gateways are sent the accounts and the public route without the operators' own text

  Scenario: A configuration without accounts is stored as before
    Given an accounts' configuration without tenants
    When the accounts' configuration is put
    Then the accounts' configuration reads back as it was put, also after a snapshot
    And neither the stored form of the configuration nor that sent to gateways mentions accounts

  Scenario: A snapshot of an earlier build, in which tenants were an unknown item
    Given an accounts' snapshot of an earlier build with an unknown item "tenants"
    Then the accounts' snapshot decodes to a table without accounts that reads back as it was put

  Scenario Outline: A patch that <change>
    Given an accounts' configuration with the tenants "<before>" and a public route
    When the accounts' configuration is put
    And the accounts' patch upserts "<upsert>" and removes "<remove>"
    Then the tenants read "<after>"

    Examples:
      | change                               | before                       | upsert                       | remove          | after                        |
      | adds an account                      | sese880: k-1                 | locu91: k-3                  |                 | sese880: k-1, locu91: k-3    |
      | replaces the keys of an account      | sese880: k-1, locu91: k-3    | sese880: k-2                 |                 | sese880: k-2, locu91: k-3    |
      | removes an account                   | sese880: k-1, locu91: k-3    |                              | sese880         | locu91: k-3                  |
      | removes the last account             | sese880: k-1                 |                              | sese880         | empty                        |
      | removes an account that isn't there  | sese880: k-1                 |                              | nobody          | sese880: k-1                 |
      | moves a key to another account       | sese880: k-1 k-2             | sese880: k-2, locu91: k-1    |                 | sese880: k-2, locu91: k-1    |
      | adds the first account               | none                         | sese880: k-1                 |                 | sese880: k-1                 |
      | removes from a table without any     | none                         |                              | sese880         | none                         |
      | changes something else               | sese880: k-1                 |                              |                 | sese880: k-1                 |

  Scenario Outline: A configuration with <fault> is invalid
    Given an accounts' configuration with the tenants "<tenants>" and a public route
    When the accounts' configuration is put
    Then the accounts' configuration is refused as invalid, and the reason names "<named>" and no key

    Examples:
      | fault                          | tenants                           | named                         |
      | a key of two accounts          | sese880: secret-1, locu91: secret-1 | "sese880" and "locu91"      |
      | two accounts of one name       | sese880: secret-1, sese880: secret-2 | two accounts are named "sese880" |
      | a name that breaks the header  | se\nse: secret-1                  | can't be named in a header    |
      | a name of the object prototype | toString: secret-1                | can't be named in a header    |

  Scenario: A key that is listed twice in one account harms nobody
    Given an accounts' configuration with the tenants "sese880: k-1 k-1" and a public route
    When the accounts' configuration is put
    Then the accounts' configuration reads back as it was put, also after a snapshot

  Scenario Outline: A patch that gives an account a key of another one is invalid
    Given an accounts' configuration with the tenants "sese880: secret-1, locu91: k-3" and a public route
    When the accounts' configuration is put
    And the accounts' patch upserts "locu91: secret-1" and removes "<remove>"
    Then the accounts' configuration is refused as invalid, and the reason names "share a key" and no key

    Examples:
      | remove |
      | nobody |

  Scenario Outline: Tenants with <fault> can't be read
    Then the tenants <tenants> can't be read at "<path>", and the problem shows no "secret-1"

    Examples: the text of a problem goes to logs
      | fault                     | tenants                                                    | path                |
      | an empty name             | [{"name":"","api_keys":["secret-1"]}]                      | tenants[0].name     |
      | no name                   | [{"api_keys":["secret-1"]}]                                | tenants[0].name     |
      | no keys                   | [{"name":"a"}]                                             | tenants[0].api_keys |
      | a key outside of a list   | [{"name":"a","api_keys":"secret-1"}]                       | tenants[0].api_keys |
      | a key in place of a name  | [{"name":["secret-1"],"api_keys":[]}]                      | tenants[0].name     |
      | an empty key              | [{"name":"a","api_keys":["secret-1",""]}]                  | tenants[0].api_keys[1] |
      | a key instead of accounts | ["secret-1"]                                               | tenants[0]          |
      | a key instead of a list   | "secret-1"                                                 | tenants             |
      | null                      | null                                                       | tenants             |
      | a priority in words       | [{"name":"a","api_keys":["secret-1"],"priority":"secret-1"}] | tenants[0].priority |
