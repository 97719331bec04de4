Feature: Uploads are requests with large bodies that run at most once
  A refusal by the gateway promises that the request has not run, so nothing of a body that is refused reaches an upstream.

  Scenario Outline: A caller's body <problem>
    Given a caller's connection to a gateway that takes bodies of 1 MB
    When the caller sends a request whose body <problem>
    Then its answer is <status>, no request was served, and the gateway closes the connection

    Examples:
      | problem                               | status |
      | is announced as larger than the limit | 413    |
      | grows larger than the limit           | 413    |
      | ends before its announced length      | 408    |
      | ends between two chunks               | 408    |
      | stops until its caller gives up       | 408    |
      | stops for the idle timeout            | 408    |

  Scenario: A body that arrives slowly is served
    Given a caller's connection to a gateway that takes bodies of 1 MB
    When the caller sends a request whose body pauses for less than the idle timeout
    Then its answer is 200 and its whole body was served

  Scenario Outline: What may be done with a request of the kind <kind>
    Then a request of the kind "<kind>" "<repeat>" and "<place>"

    Examples:
      | kind     | repeat               | place                   |
      | safe     | may run again        | goes to any zone        |
      | unsafe   | runs at most once    | goes to any zone        |
      | download | may run again        | stays in its zone       |
      | upload   | runs at most once    | stays in its zone       |
