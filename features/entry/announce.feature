@entry
Feature: Announcements of upstreams
  An upstream that presents the token can announce itself, renew and leave. Any other request is refused with a remedy.

  Scenario Outline: The listener answers <case>
    Given an announcement listener
    When an upstream sends the announcement "<case>"
    Then the listener's response and the events it forwarded match the snapshot

    Examples:
      | case                    |
      | valid                   |
      | no token                |
      | wrong token             |
      | unknown field           |
      | missing fields          |
      | slots of zero           |
      | host name               |
      | port 70000              |
      | label too long          |
      | not JSON                |
      | too large               |
      | bad id                  |
      | leave                   |
      | leave, unknown upstream |
      | leave, no incarnation   |
      | leave, no token         |
      | unknown path            |
