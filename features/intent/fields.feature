Feature: Operators' commands are read in full, or refused by the field
  The status of a command was once looked up under the id "undefined" if the call held none.

  Scenario: Each field of each command
    Then each operators' command with all fields is accepted
    And each field of each operators' command that is dropped, null or of another kind is refused by its name

  Scenario: Calls of the operators' tool
    Then each field of an operators' call that is dropped, null or of another kind is refused by its name
