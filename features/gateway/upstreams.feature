Feature: Upstreams that send bytes which are no answer
  What an upstream sends is the answer to a request only if it certainly belongs to it.

  Scenario Outline: An upstream sends <sent> on a <kind> connection
    Given an upstream that sends "<sent>" as its answer on a <kind> connection
    When a request is sent to it
    Then the attempt ends as "<outcome>" and the connection is <after>

    Examples:
      | sent                                | kind | outcome  | after  |
      | its own answer                      | new  | answered | kept   |
      | a refusal that names the request    | kept | notRun   | kept   |
      | a refusal that names no request     | new  | notRun   | closed |
      | a refusal that names no request     | kept | lost     | closed |
      | a 421 that names no request         | kept | lost     | closed |
      | an earlier refusal, then its answer | kept | answered | kept   |

  Scenario Outline: An upstream in trouble sends a status that is none, or that nobody asked for: <status>
    Given an upstream that sends "a status <status>" as its answer on a <kind> connection
    When a request is sent to it
    Then the attempt ends as "lost" and the connection is closed

    Examples: 101 would hand the connection to a protocol that was not asked for
      | status | kind |
      | 000    | new  |
      | 000    | kept |
      | 099    | new  |
      | 101    | new  |
      | 600    | new  |
      | 600    | kept |
      | 999    | kept |

  Scenario: An earlier refusal that names no request is written once more
    Given an upstream that writes its first refusal once more while it runs the next request
    When two requests are sent to it, one after the other
    Then the first attempt ends as "notRun" and the second one as "answered"

  # Guards against a late copy of an answer that passes for the answer to the next sending of the same request.
  Scenario Outline: <answer> is written once more when the same request comes again, <others> others later
    Given an upstream that writes "<answer>" once more when the same request comes again on its connection
    When a request is sent to it, then <others> others, then the same request again
    Then each attempt ended as the upstream answered it, and no request came on a connection that had carried it

    Examples:
      | answer             | others |
      | a refusal          | 0      |
      | a refusal          | 1      |
      | a refusal          | 200    |
      | a server error     | 0      |
      | an earlier version | 0      |
      | an earlier version | 3      |

  Scenario: A request that comes again and again takes no more connections than one at a time
    Given an upstream that writes "a refusal" once more when the same request comes again on its connection
    When the same request is sent to it 40 times, one after the other
    Then each attempt ended as the upstream answered it, and at most 2 connections were open at once

  Scenario: A connection carries many requests before it is replaced
    Given an upstream that sends "its own answer" as its answer on a new connection
    When 3072 requests are sent to it, one after the other
    Then all were answered, over 3 connections

  Scenario Outline: An upstream sends <bytes> without end
    Given an upstream that sends "<bytes>" without end
    When a request is sent to it while another upstream answers requests
    Then the attempt ends as "lost" and at most 12 MB were held
    And every request to the other upstream was answered

    Examples:
      | bytes                          |
      | a head                         |
      | interim heads                  |
      | empty lines                    |
      | a body that ends by closing    |
      | a body in chunks of one byte   |
      | a trailer                      |
      | answers to another request     |
      | no HTTP                        |

  Scenario Outline: An upstream answers a health check with <bytes> without end
    Given an upstream that sends "<bytes>" without end
    When it is probed
    Then the probe ends as "lost" within 400 ms, and the upstream wrote at most 12 MB

    Examples:
      | bytes                          |
      | a head                         |
      | interim heads                  |
      | empty lines                    |
      | a body that ends by closing    |
      | a body in chunks of one byte   |
      | a trailer                      |
      | answers to another request     |
      | no HTTP                        |

  Scenario: Of several endless bodies and a whole one, the whole one is delivered
    Given an upstream that sends "a body that ends by closing" without end
    When 4 requests are sent to it while another upstream answers requests
    Then the attempts end as "lost" and at most 12 MB were held
    And every request to the other upstream was answered

  Scenario Outline: A caller sends <bytes> without end
    Given a caller's connection to a gateway
    When the caller sends "<bytes>" without end
    Then it is answered with <status> and at most 12 MB were held

    Examples:
      | bytes                        | status |
      | a head                       | 431    |
      | empty lines                  | 431    |
      | a body in chunks of one byte | 413    |
      | a trailer                    | 431    |

  Scenario: An upstream that closes in the middle of the head of its response
    Given an upstream that closes after each part of the head of its response in turn
    When a request is sent for each of the parts
    Then every attempt ends as "lost"
