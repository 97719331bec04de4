@entry
Feature: Deadlines, cancellation, idempotency keys and freshness

  Scenario: The deadline that is passed on is what is left
    Given an entry with an upstream that notes each request
    When the caller's body arrives 150 ms after a head with a deadline of 2000 ms
    Then the upstream was told a deadline between 1 and 1900 ms

  Scenario: A caller that goes away is seen upstream
    Given an entry with an upstream that notes each request
    When the caller goes away from a request that "waits"
    Then the upstream sees its request cancelled
    And the entry has no call and no routing record left

  Scenario: A caller that goes away from a streamed answer is seen upstream
    Given an entry with an upstream that notes each request
    When the caller goes away from a request that "streams"
    Then the upstream sees its request cancelled
    And the entry has no call and no routing record left

  Scenario: A repeated key gets the first answer
    Given an entry with an upstream that notes each request
    When the caller sends two "quick" requests with one key
    Then the second answer is the first one replayed
    And the upstream ran 1 request

  Scenario: A key that is running
    Given an entry with an upstream that notes each request
    When the caller sends a request with a key while the first with it "waits"
    Then the second answer has status 409 and outcome "running"
    And the upstream ran 1 request

  Scenario: A key used for another request
    Given an entry with an upstream that notes each request
    When the caller sends two different requests with one key
    Then the second answer has status 422 and not-run "1"
    And the upstream ran 1 request

  Scenario: A key whose first answer was cut
    Given an entry with an upstream that notes each request
    When the caller sends two "cut" requests with one key
    Then the second answer has status 502 and outcome "unknown"
    And the upstream ran 1 request

  Scenario: A key whose caller went away keeps its answer
    Given an entry with an upstream that notes each request
    When the caller goes away from a keyed request and sends it again
    Then the second answer is replayed
    And the upstream ran 1 request

  Scenario: A key that an upstream refused may be used again
    Given an entry with an upstream that notes each request
    When the caller sends two "refused" requests with one key
    Then neither answer is a replay

  Scenario: Claims that cannot be had
    Given an entry with an upstream that notes each request
    And no majority of the claimants can be reached
    When the caller sends two "quick" requests with one key
    Then the second answer has status 503 and not-run "1"
    And the upstream ran 0 requests

  Scenario: A claim that is no longer valid when the request could be written
    Given an entry with an upstream that notes each request
    And claims are valid for 0 ms only
    When the caller sends two "quick" requests with one key
    Then the second answer has status 503 and not-run "1"
    And the upstream ran 0 requests

  Scenario: An entry that lost touch
    Given an entry with an upstream that notes each request
    And the entry's configuration is not fresh
    When the caller sends two "quick" requests with one key
    Then the second answer has status 503 and not-run "1"
    And the upstream ran 0 requests
    And the entry does not list itself

  Scenario: Connections stay within the entry's budget
    Given an entry with an upstream that accepts 3 connections
    When 20 calls arrive at once
    Then all are answered over at most 3 connections
