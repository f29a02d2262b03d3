Feature: Large bodies fit into the memory of a process
  A configuration may allow bodies of many megabytes. A process holds one copy of each, and
  refuses further ones before they are read when too many are open.

  # Guards against pieces that are lost, repeated or reordered when a socket accepts a part.
  Scenario: Output of any sizes is sent whole and in order
    Then 30 random sequences of output arrive as they were written

  # Guards against a copy of all queued output for each part that a socket accepts.
  Scenario: A large message is queued for a peer that reads slowly
    When 32000000 bytes are written to a peer that reads 64 KB at a time
    Then at most 4000000 bytes are allocated for sending them

  # Guards against messages that are encoded in pieces and cannot be decoded.
  Scenario: A message in pieces is the message
    Then 200 random messages with bodies are the same in pieces, and large bodies are not copied

  # Guards against bodies within the configured limit that together take more memory than
  # the process may.
  Scenario Outline: A third large body comes while two are open
    Given an HTTP server that takes bodies of 64 MB, and 2 callers with bodies of 60 MB
    When another caller begins a body of 60 MB <how>
    Then it gets 503 with a time to come back, and the connection is closed
    And the other callers are not affected
    When the first caller has left and another begins a body of 60 MB with its length
    Then it is read

    Examples:
      | how             |
      | with its length |
      | in chunks       |

  # Guards against small bodies that are refused because of large ones.
  Scenario: A small body comes while two large ones are open
    Given an HTTP server that takes bodies of 64 MB, and 2 callers with bodies of 60 MB
    When another caller sends a body of 1000 bytes
    Then it is answered

  # Guards against a link that is closed as silent while it sends a large message, so that the
  # message never arrives over a slow path.
  Scenario: A large request takes longer than a link may be silent
    Given a link to a peer that reads 8 MB a second
    When a request with a body of 32000000 bytes is sent on it
    Then the peer has the whole request after more than 3 seconds, on the same link

  # Guards against a link that is never taken for silent while a large message waits on it.
  Scenario: The peer of a link stops reading in the middle of a large request
    Given a link to a peer that reads 8 MB a second
    When a request with a body of 32000000 bytes is sent on it
    And the peer reads nothing more after 1 second
    Then the link is closed within 2 seconds

  # Guards against a home that is taken for silent because its offer waits behind a large
  # message on the same link.
  Scenario: An offer waits behind a large message
    Given a home that grants an offer after 0.5 s, as it waits behind a large message
    When an unsafe request is offered to it
    Then the request is answered 200 and the home was asked once

  # Guards against a slot that is freed while the request for it is still arriving.
  Scenario Outline: A large request arrives for longer than a slot is kept
    Given a home that has granted a slot
    When the request for the slot arrives within 3 seconds, <how>
    Then it is <outcome>

    Examples:
      | how                                  | outcome                      |
      | some bytes each 0.2 seconds          | sent to the server of orders |
      | all bytes after nothing has arrived  | refused as never received    |
