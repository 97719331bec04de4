Feature: A gateway whose state is too old denies no route, and sends nothing by a state that others have overtaken

  Scenario: All control members are gone for ten seconds
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the following gateway's state grows to 10000 ms, with nobody ahead
    Then the following gateway answers 200 on the known path and 503 as not run on an unknown one, without a wait
    And the following gateway is ready, and its directory answers
    When the following gateway's state grows to 31000 ms, with nobody ahead
    Then the following gateway answers 503 as not run on the known path, without a wait
    And the following gateway is not ready, and its directory is empty
    When the following gateway's state is confirmed
    Then the following gateway answers 200 on the known path and 404 on an unknown one
    And the following gateway is ready, and its directory answers
    And the following gateway logged that its state became stale once and that it is fresh again once

  Scenario: Somebody is ahead
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the following gateway's state grows to 3000 ms, with somebody ahead
    Then the following gateway answers 503 as not run on the known path, without a wait
    And the following gateway is not ready, and its directory is empty
    And the upstream of the following gateway ran nothing
    And the following gateway counted 1 refusal for age

  Scenario: A gateway that wakes from a pause answers the requests in its sockets by the new state
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the following gateway wakes from a pause of 8000 ms, and requests for the known path and for one that was added since wait in its sockets
    And the newer state, which drops the known path, reaches the following gateway 150 ms later
    Then the following gateway answers 404 on the dropped path and 200 on the added one

  Scenario Outline: The wait after a pause is bounded
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the following gateway wakes from a pause of <pause> ms, with somebody ahead: <ahead>
    And a request for the known path with a deadline of <deadline> ms is sent to it
    Then the following gateway answered it with <status> after <from> to <to> ms

    Examples: half of the caller's time, else the time of the check
      | pause | ahead | deadline | status | from | to   |
      | 8000  | no    | 5000     | 200    | 380  | 1000 |
      | 8000  | yes   | 5000     | 503    | 380  | 1000 |
      | 40000 | no    | 5000     | 503    | 380  | 1000 |
      | 8000  | no    | 400      | 503    | 190  | 390  |

  Scenario: More requests than may wait are refused at once
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the following gateway wakes from a pause of 8000 ms, and 300 requests for the known path are sent to it
    Then the following gateway answered 256 of them with 200 and 44 with 503

  Scenario: A request whose first attempt is turned away after the state was overtaken is not sent on
    Given a following gateway with a known route, whose state counts as current for 2000 ms
    When the upstream of the following gateway turns a request away while the state becomes outdated
    Then the following gateway answers that request with 503 as not run
    And the upstream of the following gateway was tried once

  Scenario: A state that becomes outdated while an upstream is probed for a request
    Given a request that waits for the probe of the upstream chosen for it
    When the state becomes outdated before the probe ends
    Then the waiting request is refused as not run with the cause "stale", and nothing was sent
