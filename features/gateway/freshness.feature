Feature: What a gateway does by the age of its state

  Scenario Outline: A request at a gateway whose state counts as current for 2,000 ms
    Given a gateway's state that is <age> ms old, watched for <watched> ms, with somebody ahead: <ahead>
    Then the state's verdict is "<verdict>", and requests are sent by it: <sent>
    And a request by it with a route is decided as "<known>", one without as "<unknown>"
    And a request by it that has waited, with a route, is decided as "<waited>"

    Examples:
      | age    | watched | ahead | verdict     | sent | known  | unknown | waited |
      | 0      | 0       | no    | fresh       | yes  | serve  | deny    | serve  |
      | 2000   | 400     | no    | fresh       | yes  | serve  | deny    | serve  |
      | 2000   | 400     | yes   | fresh       | yes  | serve  | deny    | serve  |
      | 2001   | 400     | no    | unconfirmed | yes  | serve  | refuse  | serve  |
      | 2001   | 400     | yes   | outdated    | no   | refuse | refuse  | refuse |
      | 2000   | 400     | unanswered | fresh  | yes  | serve  | deny    | serve  |
      | 2001   | 400     | unanswered | outdated | no | refuse | refuse  | refuse |
      | 9000   | 0       | unanswered | checking | no | wait   | wait    | refuse |
      | 2001   | 399     | no    | checking    | yes  | wait   | wait    | refuse |
      | 9000   | 0       | yes   | checking    | no   | wait   | wait    | refuse |
      | 30000  | 400     | no    | unconfirmed | yes  | serve  | refuse  | serve  |
      | 30001  | 400     | no    | outdated    | no   | refuse | refuse  | refuse |
      | 600000 | 10      | no    | checking    | no   | wait   | wait    | refuse |

  Scenario Outline: Since when a gateway has watched its state age
    Given a gateway that looks at the age of its state every 50 ms, and stands still for <pause> ms once it is <before> ms old
    Then at the first look over 2,000 ms it has watched for <from> to <to> ms

    Examples: without a pause the check is over when the state becomes stale
      | before | pause | from | to  |
      | 200    | 0     | 400  | 450 |
      | 1800   | 400   | 400  | 800 |
      | 200    | 1900  | 0    | 0   |
      | 1800   | 5000  | 0    | 0   |

  Scenario: A gateway that stands still while its state is unconfirmed checks anew
    Given a gateway that looks at the age of its state every 50 ms, and stands still for 3000 ms once it is 8000 ms old
    Then at the first look over 11,000 ms it has watched for 0 to 0 ms

  Scenario Outline: Random states and requests, seed <seed>
    Then by 5000 random states of the seed <seed> a gateway keeps the rules of age

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
