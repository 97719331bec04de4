Feature: HTTP/1.1 messages are parsed from a byte stream

  Scenario Outline: Requests are parsed wherever their bytes are split
    Given the request bytes "<bytes>"
    Then the request reader emits "<found>" wherever the bytes are split

    Examples:
      | bytes                                                                              | found                   |
      | GET /a HTTP/1.1\r\nHost: x\r\n\r\n                                                 | GET /a []               |
      | \r\nGET /a HTTP/1.1\r\n\r\n                                                        | GET /a []               |
      | POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc                                   | POST /a [abc]           |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n | POST /a [abc]      |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: 1\r\n\r\n      | POST /a []              |
      | GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n                                     | GET /a []; GET /b []    |
      | POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab                                    |                         |

  Scenario Outline: A field value of a million blanks is read within the time of a test step
    When a head is parsed whose field value is <value>
    Then its field value is <parsed> characters long

    Examples: the square of their number takes minutes
      | value                                   | parsed  |
      | 1000000 blanks, and a letter at the end | 1       |
      | 1000000 blanks between two letters      | 1000002 |
      | 1000000 blanks and tabs                 | 0       |

  Scenario Outline: Malformed, ambiguous and oversized requests are rejected
    Given the request bytes "<bytes>"
    Then the request reader emits "<found>" wherever the bytes are split

    Examples:
      | bytes                                                                              | found |
      | POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n        | 400   |
      | POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc              | 400   |
      | POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\n                                     | 400   |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: \vchunked\r\n\r\n                         | 400   |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n                       | 501   |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n                 | 400   |
      | POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n                       | 400   |
      | GET /a HTTP/1.1\r\nHost : x\r\n\r\n                                                | 400   |
      | GET /a HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n                                      | 400   |
      | GET /a b HTTP/1.1\r\n\r\n                                                          | 400   |
      | GET /a HTTP/2.0\r\n\r\n                                                            | 505   |
      | POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n                                   | 413   |

  Scenario Outline: Responses are only complete with their last byte
    Given the response bytes "<bytes>"
    When the connection ends in "<end>"
    Then the response reader emits "<found>"

    Examples:
      | bytes                                                            | end   | found                        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok                   | order | 200 [ok]                     |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | order | 200 [ok]          |
      | HTTP/1.1 200 OK\r\n\r\nok                                        | order | 200 [ok]                     |
      | HTTP/1.1 200 OK\r\n\r\nok                                        | reset |                              |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok                   | order |                              |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n | order |                              |
      | HTTP/1.1 204 No Content\r\n\r\n                                  | reset | 204 []                       |
      | garbage\r\n\r\n                                                  | order | 400                          |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n | order | 200 [ok]; 500 [] |

  Scenario Outline: A stream of requests is validated without buffering bodies
    Given the request bytes "<bytes>"
    Then the request scanner passes on "<accepted>" and reports "<error>" wherever the bytes are split

    Examples:
      | bytes                                                                  | accepted                                              | error |
      | GET /a HTTP/1.1\r\nHost: x\r\n\r\n                                     | GET /a HTTP/1.1\r\nHost: x\r\n\r\n                    |       |
      | GET /a HTTP/1.1\r\nHost: x\r\n                                         |                                                       |       |
      | GET /a HTTP/1.1\nHost: x\r\n\r\n                                       |                                                       | 400   |
      | GET /a HTTP/1.1\r\n: x\r\n\r\n                                         |                                                       | 400   |
      | GET /a HTTP/1.1\r\nX Y: x\r\n\r\n                                      |                                                       | 400   |
      | GET /é HTTP/1.1\r\n\r\n                                                |                                                       | 400   |
      | GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\nGET /c HTTP/1.1\r\n\r\n    | GET /a HTTP/1.1\r\n\r\n                               | 400   |
      | PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nabc\r\n\r\n                | PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab        | 400   |
      | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: 1\r\n\r\n | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: 1\r\n\r\n | |
      | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naX0\r\n\r\n  | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na | 400 |
      | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n          | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n | 400   |
      | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA : 1\r\n\r\n | PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n | 400 |
      | PUT /a HTTP/1.1\r\nTransfer-Encoding: \v chunked\r\n\r\n               |                                                       | 400   |
