@entry
Feature: Complete responses
  Each caller gets exactly its own complete response, a refusal from the entry, or a visible truncation.

  Scenario Outline: A random mix of aborts, truncations, early and late responses with <routing> routing
    Given an entry with <routing> routing and two upstreams whose behaviour each request selects
    When a seeded mix of requests is sent over keep-alive connections
    Then every caller got its own complete response, a refusal, or a visible truncation
    And no non-idempotent request ran twice
    And every refusal that reports not-run is correct

    Examples:
      | routing  |
      | fake     |
      | real     |

  Scenario: A body of 100 MB is forwarded at the caller's speed
    Given an entry with an upstream that sends 100 MB
    When a slow caller reads it
    Then the complete body arrives and the upstream never gets far ahead of the caller
