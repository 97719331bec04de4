@entry
Feature: A call through the entry
  A caller requests addresses, connects to one of them and receives a complete response from an upstream.

  Background:
    Given an entry with one upstream that echoes its requests

  Scenario Outline: The entry forwards <method> <target>
    When the caller sends "<method>" to "<target>" with body "<body>"
    Then the entry's response matches the snapshot

    Examples:
      | method  | target               | body  |
      | GET     | /seam/batches/7?full | none  |
      | GET     | /seam                | none  |
      | HEAD    | /seam/batches/7      | none  |
      | OPTIONS | /seam/batches        | none  |
      | PUT     | /seam/batches/7      | short |
      | DELETE  | /seam/batches/7      | none  |
      | POST    | /seam/batches        | short |
      | PATCH   | /seam/batches/7      | long  |
      | GET     | /other/batches       | none  |
      | GET     | /                    | none  |
      | TRACE   | /seam/               | none  |

  Scenario: A caller gets addresses
    When the caller requests addresses
    Then the entry's response matches the snapshot
