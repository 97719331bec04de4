@entry
Feature: Announcements of upstreams
  An upstream that knows the token announces itself, renews and leaves; anything else is refused with a remedy.

  Scenario Outline: The listener answers <case>
    Given a listener for announcements
    When an upstream sends the announcement "<case>"
    Then the listener's answer and what it passed on match the snapshot

    Examples:
      | case                    |
      | sound                   |
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
      | leave, no incarnation   |
      | leave, no token         |
      | unknown path            |
