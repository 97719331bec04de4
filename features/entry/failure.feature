@entry
Feature: Failures between the entry and an upstream
  The caller gets one complete response, a visible truncation, or a refusal that states correctly whether the request ran.

  Scenario Outline: <method> when the upstream <behaviour>
    Given an entry whose only upstream "<behaviour>"
    When the caller sends "<method>" to the failing upstream
    Then the results at the caller and at the upstream match the snapshot

    Examples:
      | method | behaviour                        |
      | GET    | refuses connections              |
      | POST   | refuses connections              |
      | GET    | closes after the request         |
      | POST   | closes after the request         |
      | PUT    | closes after the request         |
      | GET    | resets after the request         |
      | POST   | resets after the request         |
      | GET    | closes in the head               |
      | POST   | closes in the head               |
      | GET    | cuts a body with a length        |
      | POST   | cuts a body with a length        |
      | GET    | cuts a chunked body              |
      | GET    | cuts a closing chunked body      |
      | GET    | cuts a closing body with a length |
      | GET    | resets in a chunked body         |
      | GET    | sends a body without framing     |
      | GET    | sends two lengths                |
      | GET    | sends a length and chunked       |
      | GET    | sends a bad chunk                |
      | GET    | sends more than its length       |
      | GET    | sends a head of 64 KiB           |
      | GET    | sends 103 first                  |
      | GET    | sends 100 first                  |
      | GET    | switches protocols               |
      | GET    | is not HTTP                      |
      | GET    | sends the status 000             |
      | POST   | sends the status 000             |
      | GET    | sends the status 099             |
      | GET    | sends the status 600             |
      | POST   | sends the status 999             |
      | HEAD   | answers HEAD with a body         |
      | GET    | sends 204 with a body            |
      | GET    | sends 304 with a length          |
      | POST   | says not run                     |
      | GET    | says not run                     |
      | POST   | fails with 500                   |
      | GET    | never answers                    |
      | POST   | never answers                    |
      | POST   | answers before the body          |

  Scenario: An upstream writes an earlier refusal once more while it runs the next request
    Given an entry whose only upstream "says not run, and once more for the next request"
    When the caller sends a "POST" request, then two at once
    Then each request got its own answer and ran once

  @known-red
  Scenario: An upstream writes an earlier answer once more while it runs the next request
    Given an entry whose only upstream "answers, and once more for the next request"
    When the caller sends a "POST" request, then two at once
    Then no request got another one's answer
