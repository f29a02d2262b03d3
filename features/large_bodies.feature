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
