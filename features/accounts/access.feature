Feature: A request is let in by the key of its client account
  Where accounts are configured, a key that isn't in force opens no route, and no key reaches an upstream.

  Scenario Outline: The credential <field>
    Then an account's credential "<field>" is "<credential>"

    Examples: a field that isn't exactly one bearer credential must name no account
      | field                                    | credential |
      | Authorization: Bearer k-1                | key k-1    |
      | AUTHORIZATION: bearer   k-1              | key k-1    |
      | Authorization: Bearer                    | malformed  |
      | Authorization: Bearer k-1 k-2            | malformed  |
      | Authorization: Basic k-1                 | malformed  |
      | Authorization: Bearerk-1                 | malformed  |
      | Authorization: k-1                       | malformed  |
      | Authorization:                           | malformed  |
      | Authorization: Bearer k-1; Authorization: Bearer k-2 | malformed |
      | Authorization: Bearer k-1; authorization: Bearer k-1 | malformed |
      | X-Authorization: Bearer k-1              | missing    |

  Scenario Outline: A request with <credential> to a <route> route of a table with accounts
    Given the accounts "sese880: k-1 k-2, locu91: k-3, idle:"
    Then with the credential "<credential>" a <route> route gives "<access>"

    Examples:
      | credential            | route     | access              |
      | Bearer k-1            | protected | account sese880     |
      | Bearer k-2            | protected | account sese880     |
      | Bearer k-3            | protected | account locu91      |
      | Bearer k-4            | protected | denied unknownKey   |
      | Bearer sese880        | protected | denied unknownKey   |
      | Bearer constructor    | protected | denied unknownKey   |
      | Bearer K-1            | protected | denied unknownKey   |
      | Basic k-1             | protected | denied malformedKey |
      |                       | protected | denied missingKey   |
      | Bearer k-1            | public    | account sese880     |
      | Bearer k-4            | public    | anonymous           |
      | Basic k-1             | public    | anonymous           |
      |                       | public    | anonymous           |

  Scenario Outline: A key of a table that is <age> ms old, fresh by the settings: <fresh>
    Given the accounts "sese880: k-1"
    Then by a table that is <age> ms old and fresh: <fresh>, the key "k-1" gives "<protected>" on a protected route and "<public>" on a public one

    Examples: a revoked key must end within 5 s, whatever the reason for which the gateway serves by an older table
      | age   | fresh | protected       | public          |
      | 0     | yes   | account sese880 | account sese880 |
      | 4500  | no    | account sese880 | account sese880 |
      | 4501  | no    | unsure          | anonymous       |
      | 30000 | no    | unsure          | anonymous       |
      | 8000  | yes   | account sese880 | account sese880 |

  Scenario Outline: A table with <accounts>
    Given the accounts "<accounts>"
    Then with the credential "Bearer k-1" a protected route gives "<access>"

    Examples: an emptied list must not open the routes
      | accounts | access            |
      | none     | open              |
      | empty    | denied unknownKey |

  Scenario Outline: Header fields to the upstream of <access>
    Given the accounts "sese880: k-1"
    When a caller's fields "<fields>" are prepared with the access "<access>"
    Then the account's upstream gets "<sent>"

    Examples: a caller must not name an account, keep the gateway from naming one, or have its key passed on
      | access          | fields                                                     | sent                           |
      | open            | Authorization: Bearer k-1; X-Tenant: me; X-A: 1            | Authorization: Bearer k-1; X-Tenant: me; X-A: 1 |
      | account sese880 | Authorization: Bearer k-1; X-A: 1                          | X-A: 1; x-tenant: sese880      |
      | account sese880 | authorization: Bearer k-1; x-TENANT: me; X-Tenant: you     | x-tenant: sese880              |
      | account sese880 | Connection: x-tenant, x-b; X-B: 1; AUTHORIZATION: Bearer k | x-tenant: sese880              |
      | anonymous       | Authorization: Bearer k-4; X-Tenant: me; X-A: 1            | X-A: 1                         |

  Scenario Outline: The priority of requests of an account with <account> on a route with 2
    Given the accounts "sese880: k-1"
    Then an account's priority <account> makes a route's priority 2 a request's priority <effective>

    Examples:
      | account | effective |
      | none    | 2         |
      | 0       | 0         |
      | 5       | 5         |

  Scenario Outline: The most urgent priority of a service with accounts of <accounts>
    Then with accounts' priorities "<accounts>", a protected route of 2 and a public one of 3, the most urgent is <top> for the protected route's service and <public> for the public one's

    Examples: a request is compared with the most urgent one that its service can have
      | accounts | top | public |
      | none     | 2   | 3      |
      | empty    | 2   | 3      |
      | -        | 2   | 3      |
      | 0        | 0   | 0      |
      | 5        | 5   | 3      |
      | 5 -      | 2   | 3      |
      | 1 5      | 1   | 1      |

  Scenario: The index of keys is built once for each table
    Then the index of accounts is built again for another table only
