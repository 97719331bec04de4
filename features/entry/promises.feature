@entry
Feature: Deadlines, cancellation, idempotency keys and freshness

  Scenario: The forwarded deadline is the remaining time
    Given an entry with an upstream that records each request
    When the caller's body arrives 150 ms after a head with a deadline of 2000 ms
    Then the upstream received a deadline between 1 and 1900 ms

  Scenario: A caller's disconnect is propagated to the upstream
    Given an entry with an upstream that records each request
    When the caller disconnects from a request that "waits"
    Then the upstream sees its request cancelled
    And the entry has no remaining call or routing record

  Scenario: A caller's disconnect during a streamed response is propagated to the upstream
    Given an entry with an upstream that records each request
    When the caller disconnects from a request that "streams"
    Then the upstream sees its request cancelled
    And the entry has no remaining call or routing record

  Scenario: A repeated key gets the first response
    Given an entry with an upstream that records each request
    When the caller sends two "quick" requests with one key
    Then the second response is the first one replayed
    And the upstream ran 1 request

  Scenario: A key whose first request is still running
    Given an entry with an upstream that records each request
    When the caller sends a request with a key while the first request with this key "waits"
    Then the second response has status 409 and outcome "running"
    And the upstream ran 1 request

  Scenario: A key reused for a different request
    Given an entry with an upstream that records each request
    When the caller sends two different requests with one key
    Then the second response has status 422 and not-run "1"
    And the upstream ran 1 request

  Scenario: A key whose first response was truncated
    Given an entry with an upstream that records each request
    When the caller sends two "cut" requests with one key
    Then the second response has status 502 and outcome "unknown"
    And the upstream ran 1 request

  Scenario: A key whose caller disconnected keeps its response
    Given an entry with an upstream that records each request
    When the caller disconnects from a keyed request and sends it again
    Then the second response is replayed
    And the upstream ran 1 request

  Scenario: A key rejected by the upstream can be used again
    Given an entry with an upstream that records each request
    When the caller sends two "refused" requests with one key
    Then neither response is a replay

  Scenario: Claims are unavailable
    Given an entry with an upstream that records each request
    And no majority of the claimants is reachable
    When the caller sends two "quick" requests with one key
    Then the second response has status 503 and not-run "1"
    And the upstream ran 0 requests

  Scenario: A claim that expires before the request is written
    Given an entry with an upstream that records each request
    And claims are valid for only 0 ms
    When the caller sends two "quick" requests with one key
    Then the second response has status 503 and not-run "1"
    And the upstream ran 0 requests

  Scenario: An entry whose configuration is not fresh
    Given an entry with an upstream that records each request
    And the entry's configuration is not fresh
    When the caller sends two "quick" requests with one key
    Then the second response has status 503 and not-run "1"
    And the upstream ran 0 requests
    And the entry does not list itself

  Scenario: Connections stay within the entry's connection budget
    Given an entry with an upstream that accepts 3 connections
    When 20 calls arrive at once
    Then all calls complete over at most 3 connections
