Feature: Answers that end with their connection
  Such an answer is complete only if its upstream closed the connection in order.

  # Guards against a part of an answer that is delivered as a whole one, as the runtime may report a reset as an end.
  Scenario Outline: An upstream sends a part and resets the connection <when>, upload of <bytes> bytes
    Given an upstream that answers a request at once, without a length
    When it sends a part and resets the connection <when>, for 120 requests with <bytes> bytes
    Then every attempt ends as "lost", and resets that were reported as an end were counted

    Examples:
      | when             | bytes   |
      | at once          | 0       |
      | at once          | 300000  |
      | at once          | 8000000 |
      | up to 10 ms late | 0       |
      | up to 10 ms late | 300000  |
      | up to 10 ms late | 8000000 |

  Scenario Outline: An upstream sends its answer and closes the connection <when>, upload of <bytes> bytes
    Given an upstream that answers a request at once, without a length
    When it sends the whole answer and closes the connection <when>, for 120 requests with <bytes> bytes
    Then every attempt ends as "answered" with the whole answer

    Examples:
      | when             | bytes   |
      | at once          | 0       |
      | at once          | 300000  |
      | at once          | 8000000 |
      | up to 10 ms late | 0       |
      | up to 10 ms late | 300000  |
      | up to 10 ms late | 8000000 |

  Scenario Outline: What tells an orderly end from a reset, with <bytes> bytes that are not sent yet
    Given an upstream that answers a request at once, without a length
    When its peer <event>, while <bytes> bytes wait to be sent to it
    Then the end of the input is reported as orderly: <orderly>

    Examples:
      | event                                    | bytes   | orderly |
      | closes its side                          | 0       | yes     |
      | closes its side                          | 8000000 | yes     |
      | resets the connection behind its bytes   | 0       | no      |
      | closes its side, and so did this process | 0       | no      |
