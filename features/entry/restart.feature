@entry
Feature: Restart of entries
  A planned stop interrupts no request of a caller that follows docs/CALLERS.md.

  Scenario: Three entries are restarted one after another under traffic
    Given three entries and callers that follow the contract
    When every entry is restarted, one after another
    Then no request of the callers was interrupted or refused
    And every entry served requests after its restart

  Scenario: A stopping entry announces that it stops
    Given three entries and callers that follow the contract
    When one entry begins to stop
    Then it delists itself at once, keeps serving, closes its connections and finishes running requests
