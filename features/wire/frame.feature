Feature: Framing of messages between processes
  A byte stream is decoded into complete frames, however it is split into chunks.

  Scenario Outline: Frames arrive in chunks of <chunk> bytes
    Given frames of 0, 1, 5 and 70000 bytes
    When the byte stream arrives in chunks of <chunk> bytes
    Then every frame is decoded completely and in order

    Examples:
      | chunk |
      | 1     |
      | 3     |
      | 4096  |

  Scenario: A message from a peer without the site secret is not delivered
    Given a mesh and a peer with another secret
    When the peer sends a message
    Then the message is not delivered

  Scenario: An address that answers in another protocol, and a handler that fails
    Given a mesh, a peer, and a server that answers each connection with "HTTP/1.1 400 Bad Request"
    When the mesh sends a message to that server, to the peer and to itself, whose handlers fail once
    Then the mesh reports 3 problems, and later messages to the peer and to itself are delivered

  Scenario: A connection whose first packet is lost is tried again without waiting for TCP
    Given an address that drops connection attempts
    When a mesh keeps sending to that address, where a peer listens 100 ms later
    Then the peer gets a message within 700 ms of the first one
