Feature: The bytes of all messages that a gateway holds are bounded

  Scenario: Many large uploads at once are held or refused, and none that runs is lost
    Given a gateway connection host with a budget of 12 MB
    When 14 callers send bodies of 3 MB at once, each of which is served for 300 ms
    Then the bodies served at the same time took at most 12 MB
    And each caller got 200 or 503, none that was refused was served, and some were served
    And the budget reported that it began and at last ended to refuse requests, and holds nothing

  Scenario: Many large answers at once are read in turn, and none is lost
    Given a gateway connection host with a budget of 12 MB
    When 14 requests to an upstream are answered with 3 MB each at once
    Then each of them is answered in whole
    And the budget never counted more than 12 MB and one piece of 64 KB for each of them, and holds nothing

  Scenario: An answer counts until its last byte is flushed
    Given a gateway connection host with a budget of 64 MB
    When a caller asks for an answer of 24 MB and does not read it
    Then the budget counts at least 16 MB
    When the caller reads its answer
    Then the budget holds nothing

  Scenario: A caller that stops reading its answer on a kept connection is let go
    Given a gateway connection host with a budget of 64 MB
    When a caller asks for an answer of 24 MB and does not read it
    And its timeouts are checked after 0, 29000 ms
    Then the budget counts at least 16 MB
    When its timeouts are checked after 31000 ms
    Then the budget holds nothing

  Scenario Outline: Requests leave room for the answers of what runs, and large ones for small ones
    Then with a limit of 100 MB, <requests> MB of requests and <answers> MB of answers, a request of <size> KB is "<decision>"

    Examples:
      | requests | answers | size  | decision |
      | 0        | 0       | 65536 | admitted |
      | 0        | 0       | 131072 | admitted |
      | 30       | 0       | 30000 | admitted |
      | 31       | 0       | 30720 | refused  |
      | 0        | 30      | 51200 | admitted |
      | 0        | 60      | 30720 | refused  |
      | 60       | 39      | 100   | admitted |
      | 60       | 40      | 100   | refused  |

  Scenario Outline: An answer is read if it fits, or if no other large one is held
    Then with a limit of 100 MB, <requests> MB of requests and <answers> MB of answers, an answer of <size> KB is "<decision>"

    Examples:
      | requests | answers | size  | decision |
      | 60       | 0       | 65536 | admitted |
      | 60       | 30      | 10240 | admitted |
      | 60       | 30      | 10241 | refused  |

  Scenario Outline: Released buffers are collected before they exceed their bound
    Then with <external> MB of buffers, of which messages hold <held> MB, a collection is "<decision>"

    Examples:
      | external | held | decision |
      | 124      | 100  | not due  |
      | 125      | 100  | due      |

  Scenario Outline: The limit follows the memory of the process, which is checked
    Then a gateway with <memory> MB and a heap of <heap> MB may hold <limit> MB of messages, and its problem is "<problem>"

    Examples:
      | memory | heap | limit | problem                                   |
      | 350    | 200  | 170   |                                           |
      | 250    | 200  | 70    |                                           |
      | 250    | 400  | 70    | less than the heap may take               |
      | 150    | 100  | 37    | less than one of the largest size         |
