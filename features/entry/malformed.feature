@entry
Feature: Malformed and ambiguous requests
  No request that two parsers could interpret differently reaches an upstream.

  Scenario: A sweep of raw requests
    Given an entry with one upstream that echoes its requests
    When each raw request is sent on its own connection
    Then the responses and the requests that reached the upstream match the snapshot
    And no request marked as ambiguous reached the upstream complete

  Scenario: A malformed request pipelined behind a valid one
    Given an entry with one upstream that echoes its requests
    When a valid request and a malformed one are sent together
    Then the caller receives one complete response and no byte of another
