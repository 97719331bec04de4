Feature: Gateways tell each other of requests that crash upstreams

  Scenario Outline: What one gateway finds reaches all others of <gateways>, in few bytes
    Given <gateways> gateways that exchange evidence of crashes
    When one of them finds a crash under <requests> requests
    Then within 1500 ms all of them know it
    And no gateway sent more than <sent> KB for it, and each was sent at most <received> KB
    When nothing happens for 2000 ms
    Then each gateway was sent at most 4 KB

    Examples:
      | gateways | requests | sent | received |
      | 3        | 3        | 1    | 1        |
      | 22       | 6        | 20   | 2        |
      | 121      | 6        | 20   | 6        |
      | 317      | 6        | 40   | 6        |

  Scenario: A gateway that starts knows what the others know before it serves, also if one in three datagrams is lost
    Given 22 gateways that exchange evidence of crashes, and lose 30 of 100 datagrams
    When one of them finds a crash under 6 requests
    Then within 5000 ms all of them know it
    When one of them starts again
    Then within 200 ms it is synced, and knows what the others know

  Scenario: A gateway that starts alone serves after a short wait
    Given 1 gateways that exchange evidence of crashes
    When one of them starts again
    Then within 200 ms it is synced, and knows what the others know

  Scenario Outline: Evidence with <fault> is ignored
    Given 2 gateways that exchange evidence of crashes
    When one of them is sent evidence with <fault>
    Then it knows of no crash

    Examples:
      | fault                     |
      | no rows                   |
      | a row of text             |
      | an unknown kind           |
      | a fingerprint of a number |
      | a negative age            |
      | an endless fingerprint    |

  Scenario Outline: Requests that differ in <part> have <result> fingerprints
    Then two requests that differ in "<part>" have "<result>" fingerprints

    Examples:
      | part                   | result    |
      | nothing                | the same  |
      | the id of the attempt  | the same  |
      | the time left          | the same  |
      | the case of the host   | the same  |
      | the method             | different |
      | the host               | different |
      | the path               | different |
      | the query              | different |
      | the caller             | different |
      | the client account     | different |
      | the body               | different |
      | the length of the body | different |
      | the end of 64 MB       | different |

  Scenario: The fingerprint of a request with 64 MB takes as long as that of a small one
    Then the fingerprint of a request with 64 MB takes at most 5 ms
