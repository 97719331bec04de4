Feature: Call of a usage report
  A stand-in for the platform takes the call on loopback. A report that counts as accepted by mistake would be lost.

  Scenario: A report has the platform's names and format
    Given a usage platform on loopback that answers 200
    When a usage report of window 353445120 with token 7 is sent
    Then the usage call is a POST to "/usage" with holder "st-1" and token "7"
    And the usage call has the body '{"window":353445120,"counts":{"sese880":412,"__proto__":1}}'
    And the usage report counts as "accepted"

  Scenario Outline: Only 200 counts as accepted
    Given a usage platform on loopback that answers <status>
    When a usage report of window 353445120 with token 7 is sent
    Then the usage report counts as "<outcome>"

    Examples:
      | status | outcome  |
      | 409    | fenced   |
      | 429    | failed   |
      | 500    | failed   |
      | 204    | failed   |
      | 302    | failed   |

  Scenario: A platform that doesn't answer, or that is down
    Given a usage platform on loopback that never answers
    When a usage report of window 353445120 with token 7 is sent
    Then the usage report counts as "failed"
    When the usage platform on loopback is down and the report is sent again
    Then the usage report counts as "failed"
