@entry
Feature: Whole answers
  Each caller gets exactly its own whole answer, a refusal of the entry, or sees that the answer was cut.

  Scenario Outline: A random mix of aborts, cuts, early and late answers with <routing> routing
    Given an entry with <routing> routing and two upstreams that behave as each request asks
    When a seeded mix of requests is sent over kept connections
    Then every caller got its own whole answer, a refusal, or a visible cut
    And no request that is not idempotent ran twice
    And every refusal that says not run is true

    Examples:
      | routing  |
      | stand-in |
      | real     |

  Scenario: A body of 100 MB passes at the caller's pace
    Given an entry with an upstream that sends 100 MB
    When a slow caller reads it
    Then the whole body arrives and the upstream never ran far ahead of the caller
