Feature: A gateway admits a request by its key and the age of its state
  A key is denied only by a state that is known to be in force; a request that waits is checked again before it goes on.

  Scenario Outline: A <state> state and a request to <target> with the key <key>
    Given an accounts' gateway with the accounts "sese880: k-1" and a "<state>" state
    Then an accounts' request to "<target>" with the key "<key>" ends as "<end>"

    Examples:
      | state                | target   | key  | end                    |
      | fresh                | /known/  | k-1  | served for sese880     |
      | fresh                | /known/  | k-2  | 401                    |
      | fresh                | /known/  | none | 401                    |
      | fresh                | /known/  | k-1 k-1 | 401                 |
      | fresh                | /public/ | k-1  | served for sese880     |
      | fresh                | /public/ | k-2  | served for nobody      |
      | fresh                | /public/ | none | served for nobody      |
      | fresh                | /other/  | k-1  | 404                    |
      | fresh                | /other/  | k-2  | 404                    |
      | 3000 ms unconfirmed  | /known/  | k-1  | served for sese880     |
      | 3000 ms unconfirmed  | /known/  | k-2  | 503                    |
      | 3000 ms unconfirmed  | /known/  | none | 503                    |
      | 3000 ms unconfirmed  | /public/ | k-2  | served for nobody      |
      | 3000 ms unconfirmed  | /other/  | k-2  | 503                    |
      | 5000 ms unconfirmed  | /known/  | k-1  | 503                    |
      | 5000 ms unconfirmed  | /public/ | k-1  | served for nobody      |
      | 3000 ms behind       | /known/  | k-1  | 503                    |
      | 3000 ms behind       | /known/  | k-2  | 503                    |
      | 3000 ms behind       | /public/ | k-1  | 503                    |
      | 3000 ms cut off      | /known/  | k-1  | 503                    |
      | 3000 ms cut off      | /known/  | k-2  | 503                    |

  Scenario Outline: A request that waits for <wait> while <change>
    Given an accounts' gateway with the accounts "sese880: k-1" and a "<state>" state
    When an accounts' request to "/known/" with the key "<key>" arrives and waits
    And the accounts' gateway then has a fresh state with the accounts "<after>"
    Then the waiting accounts' request ended as "<end>"

    Examples: what is checked before a wait may be revoked at its end
      | wait                 | state          | key  | change                     | after                    | end                |
      | a check of the state | 8000 ms paused | k-1  | its key is revoked         | sese880: k-2             | 401                |
      | a check of the state | 8000 ms paused | k-1  | its account is removed     | locu91: k-3              | 401                |
      | a check of the state | 8000 ms paused | k-1  | its key changes its account | locu91: k-1             | served for locu91  |
      | a check of the state | 8000 ms paused | k-2  | its key is added           | sese880: k-2             | served for sese880 |
      | a check of the state | 8000 ms paused | k-1  | nothing changes            | sese880: k-1             | served for sese880 |
      | the routes           | missing        | k-1  | its key turns out unknown  | sese880: k-2             | 401                |
      | the routes           | missing        | k-1  | its key turns out known    | sese880: k-1             | served for sese880 |
      | the routes           | missing        | none | no accounts turn out       | none                     | served as it came  |

  Scenario: A revoked key is refused from the next request on
    Given an accounts' gateway with the accounts "sese880: k-1 k-2" and a "fresh" state
    When an accounts' request to "/known/" with the key "k-1" is served
    And the accounts' gateway then has a fresh state with the accounts "sese880: k-2"
    Then an accounts' request to "/known/" with the key "k-1" ends as "401"
    And an accounts' request to "/known/" with the key "k-2" ends as "served for sese880"
    And the request that was served before was not cancelled

  Scenario: A request that another part holds back is checked by the present state
    Given an accounts' gateway with the accounts "sese880: k-1" and a "fresh" state
    When an accounts' request to "/known/" with the key "k-1" is served
    Then the accounts' gateway checks the held request again as "serve"
    When the accounts' gateway then has a fresh state with the accounts "sese880: k-2"
    Then the accounts' gateway checks the held request again as "deny"

  Scenario: A gateway without accounts passes the header fields as before
    Given an accounts' gateway with the accounts "none" and a "fresh" state
    Then an accounts' request to "/known/" with the key "k-9" ends as "served as it came"
    And an accounts' request to "/known/" with the key "none" ends as "served as it came"

  Scenario: What a refusal for a key tells
    Given an accounts' gateway with the accounts "sese880: secret-1" and a "fresh" state
    Then an accounts' request to "/known/" with the key "secret-2" ends as "401"
    And the refusal names the scheme "Bearer" and the request's id, and promises that it has not run
    And a log line of the accounts' gateway names the cause "unknownKey" and the route, and none shows a key
    And the accounts' gateway counted 1 refusal for a key

  Scenario: What a refusal for the age of the state tells
    Given an accounts' gateway with the accounts "sese880: secret-1" and a "3000 ms unconfirmed" state
    Then an accounts' request to "/known/" with the key "secret-2" ends as "503"
    And the refusal names a time to come back
    And the accounts' gateway counted 0 refusals for a key

  Scenario: Requests that are sent ahead on one connection are checked each
    Given a gateway on loopback with the accounts "sese880: k-1, locu91: k-3" and one upstream
    When a caller sends requests with the keys "k-1, k-2, none, k-3, k-1" ahead on one connection to it
    Then the answers on the accounts' connection are "200, 401, 401, 200, 200"
    And the accounts' upstream got 3 requests, none with a key

  Scenario: The priority of the account decides how much of its time a request may use
    Given a gateway on loopback with the accounts "urgent: k-1, patient: k-2" and one upstream
    And the account "patient" has the priority 5, and the route 0
    Then a request of 900 ms with the key "k-2" is refused there for lack of room, and one with the key "k-1" is served
