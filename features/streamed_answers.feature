Feature: A streamed answer is read as fast as its caller takes it
  A home passes a long answer on in parts. Sockets are real, and time is virtual.

  # Guards against a connection that goes back to the pool while its reading is paused, so
  # that the next request on it runs and its answer is never read.
  Scenario: The last part of an answer arrives while the link to the entry is full
    Given a home whose server sends 1048500 bytes and, 0.8 s later, the last 100
    When an entry of revision 2 gets this answer on a link that is full
    And it sends another request to the home
    Then the server has run 2 requests on one connection, and both are answered

  # Guards against a home that reads its server at full speed for an entry that has no room.
  Scenario Outline: An entry tells of no room
    Given a home whose server sends 8000000 bytes and, 0.5 s later, the last 100
    When an entry of revision <revision> gets this answer and takes nothing, and the home may hold <budget> bytes
    Then at most <sent> bytes are sent to it, and <read> are read from the server

    Examples:
      | revision | budget   | sent    | read    |
      | 3        | 8000000  | 262144  | 2400000 |
      | 3        | 64000000 | 262144  | 8000300 |

  # Guards against parts that are lost, repeated, reordered or kept when the window opens
  # and the request ends at any time.
  Scenario: Windows open at random
    Then in 150 random orders of events the entry gets the answer whole, or a part of it

  # Guards against an entry that asks for more of an answer that waits in its memory.
  Scenario Outline: Long answers wait behind a slow one
    Given a caller of an entry whose homes are on other machines
    When it sends a request that works for 1.5 s and <count> with answers of <size> bytes behind it
    Then the entry holds at most <held> bytes for it while the first one works
    And the caller gets all answers whole and in order
    And neither process counts memory for it any more

    Examples:
      | count | size    | held    |
      | 3     | 8000000 | 1048576 |
      | 12    | 4000000 | 4194304 |

  # Guards against an answer that stops, or takes many round trips, when its caller reads
  # at any speed.
  Scenario Outline: A caller reads a long answer
    Given a caller of an entry whose homes are on other machines
    When it sends a request with an answer of <size> bytes and reads <rate> bytes a second
    Then the entry holds at most 1048576 bytes for it
    And the caller gets all answers whole and in order

    Examples:
      | size     | rate     |
      | 20000000 | 50000000 |
      | 4000000  | 1000000  |

  # Guards against parts that are dropped as a forgotten outcome while their entry has no room.
  Scenario: Other outcomes take the memory for them while parts of an answer wait
    Given a home whose server sends 300000 bytes and, 0.8 s later, the last 100000
    When an entry of revision 3 gets this answer and takes nothing, and the home may hold 2000000 bytes
    And it gets 5 other answers of 100000 bytes
    And it takes the first answer
    Then it gets that answer whole
