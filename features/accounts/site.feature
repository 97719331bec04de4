Feature: Client accounts through the processes of a site

  Scenario: Accounts are put, used, patched and revoked
    Given the platform's site serves two services
    When the site's accounts are "sese880: k-1 k-2, locu91: k-3", and the orders route is public
    Then the site's configuration reads back with its accounts
    And within 2000 ms each gateway answers its accounts' requests
      | path      | key  | status | tenant  |
      | /records/ | k-1  | 200    | sese880 |
      | /records/ | k-3  | 200    | locu91  |
      | /records/ | k-4  | 401    |         |
      | /records/ | none | 401    |         |
      | /orders/  | k-2  | 200    | sese880 |
      | /orders/  | k-4  | 200    |         |
      | /none/    | k-4  | 404    |         |
    And the site's upstreams got neither a key nor a name that a caller made up
    When a patch takes the key "k-1" from the account "sese880" while callers use it on kept connections
    Then from 5000 ms after the acknowledgement no request with the key is served
    And the kept connections still serve requests with the key "k-2"
    And accounts that share a key are refused by the site with 400
    And a configuration that is no JSON is refused by the site with 400, without a key in the answer
    And no process of the site wrote a key to its log, and gateways counted refusals for keys

  Scenario: All stewards are killed, so that no gateway can tell whether a key was revoked
    Given the platform's site serves two services
    When the site's accounts are "sese880: k-1, locu91: k-3", and the orders route is public
    Then within 2000 ms each gateway answers its accounts' requests
      | path      | key | status | tenant  |
      | /records/ | k-1 | 200    | sese880 |
    When all stewards of the accounts' site are killed
    Then 5000 ms later each gateway answers its accounts' requests
      | path      | key  | status | tenant |
      | /records/ | k-1  | 503    |        |
      | /records/ | k-4  | 503    |        |
      | /records/ | none | 503    |        |
      | /orders/  | k-4  | 200    |        |
      | /orders/  | k-1  | 200    |        |
    When the stewards of the accounts' site are started again
    Then within 15000 ms each gateway answers its accounts' requests
      | path      | key | status | tenant  |
      | /records/ | k-1 | 200    | sese880 |
      | /records/ | k-4 | 401    |         |
      | /orders/  | k-1 | 200    | sese880 |
