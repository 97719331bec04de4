@entry
Feature: Restart of entries
  A planned stop cuts off no request of a caller that follows docs/CALLERS.md.

  Scenario: Three entries are restarted one after another under traffic
    Given three entries and callers that follow the contract
    When every entry is restarted, one after another
    Then no request of the callers was cut off or refused
    And every entry served requests after its restart

  Scenario: An entry that stops announces it
    Given three entries and callers that follow the contract
    When one entry begins to stop
    Then it leaves its own answer at once, serves on, closes its connections and finishes what runs
