Feature: Limits on clients, without a network

  Scenario: Connections that completed no request are closed first, and those that are being served last
    Given these connections of clients:
      | name   | is serving | has completed | active at |
      | served | yes        | no            | 1         |
      | idle   | no         | yes           | 2         |
      | silent | no         | no            | 8         |
      | older  | no         | no            | 7         |
    Then of the connections of clients, 3 are closed in the order "older, silent, idle"

  Scenario: A body in chunks of one byte takes at most twice its size, and is read in whole
    Given the head of a request with a body in chunks
    When 60000 chunks of one byte are read
    Then the reader holds at most 200000 bytes
    And the body that ends then is whole

  Scenario: One reading takes a bounded number of steps
    Given the head of a request with a body in chunks
    When 5000 chunks of 5000 bytes are pushed
    Then each reading of 16 steps returns within 16 steps, and in the end the body is whole

  Scenario: A small rest of a large buffer does not keep the buffer in memory
    Given the head of a request with a body in chunks
    When a head of 16000 bytes is followed by the first bytes of another
    Then the reader holds at most 200 bytes

  Scenario: Many short fields count with the memory that they take
    Then a head with 2400 short fields costs over 300000 bytes, one with 10 fields under 3000
