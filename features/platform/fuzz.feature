@no-site
Feature: Random changes of valid messages never make a decoder or its handler fail

  Scenario: Announcements
    Then 2000 changed announcements are rejected, or leave a gateway that still chooses an upstream

  Scenario: Configurations and changes of them
    Then 2000 changed configurations are rejected, or reach a gateway that still matches routes

  Scenario: Load headers
    Then 2000 changed load headers are no report, or one of numbers from 0 up

  Scenario: Messages of the feed between processes
    Then after each of 2000 changed messages an entry still applies a valid one, and a control member answers a poll

  Scenario: Records of the log and documents on a disk
    Then 2000 changed logs and documents are decoded up to the change, or rejected
