Feature: The gateway chooses an upstream for each attempt and decides what follows it

  Scenario Outline: Choice of the upstream for an attempt
    Given gateway upstreams "<upstreams>"
    When an upstream is chosen for a request with <work> ms of work and <left> ms left in zone "a"
    Then the gateway chooses among "<chosen>"

    Examples: an upstream is its name, zone, requests in its 6 slots and queue, pace and state
      | upstreams                                       | work | left | chosen     |
      | x a 0 1, y a 0 7                                | 60   | 500  | x          |
      | x a 0 1, y b 0 1                                | 5    | 500  | x          |
      | x a 6 1, y b 0 1                                | 60   | 500  | y          |
      | x a 0 1, y a 0 1                                | 60   | 500  | x y        |
      | x a 0 1, y b 0 1                                | 60   | 500  | x          |
      | x a 3 1, y b 0 1                                | 60   | 500  | x          |
      | x a 4 1, y b 0 1                                | 60   | 500  | x y        |
      | x a 0 1, y b 0 1 connected                      | 60   | 500  | y          |
      | x a 0 1 connected, y b 0 1 connected            | 60   | 500  | x          |
      | x a 17 1                                        | 30   | 500  | x          |
      | x a 18 1                                        | 30   | 500  | noRoom     |
      | x a 10 1                                        | 60   | 500  | x          |
      | x a 14 1                                        | 60   | 500  | noRoom     |
      | x a 0 7                                         | 60   | 500  | noRoom     |
      | x a 0 7                                         | 60   | 600  | x          |
      | x a 0 1 blocked, y a 0 7                        | 60   | 600  | y          |
      | x a 0 1 blocked                                 | 60   | 500  | noUpstream |
      | x a 0 1 cold                                    | 60   | 500  | noUpstream |
      | x a 0 1 cold-turn                               | 60   | 500  | x          |
      | x a 0 1 failing, y b 0 2                        | 60   | 500  | y          |
      | x a 0 1 out-of-reach, y b 0 2                   | 60   | 500  | y          |
      | x a 0 1 silent, y b 0 2                         | 60   | 500  | y          |
      | x a 0 1 silent                                  | 60   | 500  | x          |
      | x a 0 1, y a 0 1 connected                      | 60   | 500  | y          |
      | x a 0 1, y a 0 2 connected                      | 60   | 500  | x          |
      | x a 0 1 connected, y a 2 1 connected            | 60   | 500  | x y        |
      | x a 0 1 rejecting                               | 60   | 500  | x          |
      | x a 0 1 rejecting, y a 0 1                      | 60   | 500  | x y        |
      | x a 0 1 rejecting, y a 6 1                      | 60   | 500  | x          |
      | x a 0 1 rejecting, y a 0 1 probed               | 60   | 500  | y          |
      | x a 0 1 rejecting probed, y a 0 1               | 60   | 500  | x          |
      | x a 0 1 rejecting, y a 0 7                      | 60   | 500  | x          |

  Scenario Outline: Choice of the upstream for an attempt with a large answer
    Given gateway upstreams "<upstreams>"
    When an upstream is chosen for a download with <work> ms of work and <left> ms left in zone "a"
    Then the gateway chooses among "<chosen>"

    Examples: answers are late after 200 ms
      | upstreams          | work | left | chosen |
      | x a 0 2, y b 0 1   | 60   | 500  | x      |
      | x a 6 1, y b 0 1   | 60   | 500  | x      |
      | x a 0 4, y b 0 1   | 60   | 500  | y      |
      | x a 0 7, y b 0 7.1 | 60   | 600  | x      |
      | x a 4 7, y b 0 7.1 | 60   | 600  | x y    |
      | x a 0 1 rejecting, y a 0 1, z b 0 1 | 60 | 500 | x y |
      | x a 0 1, y b 0 1 rejecting, z b 0 1 | 60 | 500 | x |

  Scenario Outline: Decision after an attempt ends
    Given a gateway request of kind "<kind>" with at most <attempts> attempts
    When its attempts end with "<ends>"
    Then the gateway decides "<decision>"

    Examples:
      | kind   | attempts | ends                                    | decision           |
      | safe   | 2        | 200                                     | answer 200         |
      | safe   | 2        | 404                                     | answer 404         |
      | safe   | 2        | 500                                     | repeat, charged    |
      | safe   | 2        | 500 500                                 | answer 500         |
      | safe   | 2        | 500 lost                                | answer 500         |
      | safe   | 1        | 500                                     | answer 500         |
      | safe   | 2        | lost                                    | repeat, charged    |
      | safe   | 2        | lost lost                               | failed lost        |
      | safe   | 2        | lost notRun                             | repeat, charged    |
      | unsafe | 2        | 500                                     | answer 500         |
      | unsafe | 2        | lost                                    | failed lost        |
      | unsafe | 2        | notRun                                  | repeat, charged    |
      | unsafe | 2        | notRun lost                             | failed lost        |
      | unsafe | 2        | notRun notRun notRun                    | refused turnedAway |
      | unsafe | 2        | unreachable                             | repeat, free       |
      | unsafe | 2        | unreachable unreachable unreachable unreachable | refused unreachable |
      | unsafe | 2        | unreachable notRun                      | repeat, charged    |

  Scenario: While a hedge is pending, the failure of the first attempt is not the answer
    Given a gateway request of kind "safe" with at most 2 attempts
    When its attempts end with "lost" while another is pending
    Then the gateway decides "wait"

  Scenario: A refusal that says "not run" is never given if an attempt may have run
    Given 5000 random gateway requests
    Then none is refused after an attempt that may have run, and unsafe ones are retried only before one

  Scenario Outline: Retries of all gateways stay within the fleet's retry budget
    Given <gateways> gateways that retry whenever they may, at ratio 0.2 and slack 64
    When each serves <requests> requests
    Then all together retry at most <bound> times

    Examples:
      | gateways | requests | bound |
      | 1        | 1000     | 264   |
      | 16       | 200      | 704   |
      | 120      | 10       | 304   |
      | 120      | 0        | 64    |

  Scenario Outline: Requests to a cold upstream stay within its rate limit in any second
    Given <gateways> gateways that use every slow-start slot of an upstream with a cold rate of <rate> requests per second
    Then no one-second window within 20000 ms holds more than <bound> requests

    Examples: the bound is 1.5 times the rate plus 5
      | gateways | rate | bound |
      | 1        | 22   | 38    |
      | 16       | 22   | 38    |
      | 22       | 18   | 32    |
      | 121      | 22   | 38    |

  Scenario Outline: The traffic split of a route holds from the first requests on
    Given a split "<weights>"
    When <requests> requests are assigned
    Then each part of the split is within 1 request of its share

    Examples:
      | weights  | requests |
      | 90 10    | 20       |
      | 50 30 20 | 33       |
      | 1 0      | 10       |

  Scenario Outline: The route with the longest prefix wins
    Given the gateway routes "records.example /a/, records.example /a/b/, other.example /"
    Then the gateway route of "<host>" and "<target>" is "<route>"

    Examples:
      | host                 | target     | route                |
      | records.example      | /a/x       | records.example /a/  |
      | records.example      | /a/b/x?y=1 | records.example /a/b/ |
      | RECORDS.example:8080 | /a/b/      | records.example /a/b/ |
      | records.example      | /b/        |                      |
      | records.example      | /a?x=/a/   |                      |
      | other.example        | /a/b/      | other.example /      |
      | unknown.example      | /a/        |                      |
