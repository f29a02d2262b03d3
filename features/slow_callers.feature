Feature: Callers that read slowly get their whole answers
  An answer that is ready is sent as fast as its caller reads, also when the connection is to
  be closed after it. Sockets are real, and time is virtual.

  # Guards against answers that are cut off 2 s after they were queued, as in a planned stop.
  Scenario Outline: A connection is to be closed while its last answer is being read
    Given a caller of an answer of 16000000 bytes who reads <rate> bytes a second
    When the answer is ready and <end>
    Then the caller gets the whole answer after more than 4 seconds
    And its connection ends regularly

    Examples:
      | rate    | end                                       |
      | 2000000 | the server drains                         |
      | 2000000 | the server drained before                 |
      | 2000000 | the caller had asked to close             |

  # Guards against an idle time that begins while the answer is still being read.
  Scenario: An answer takes longer to read than a connection may be idle
    Given a caller of an answer of 16000000 bytes who reads 500000 bytes a second
    When the answer is ready and the connection stays open
    Then the caller gets the whole answer after more than 16 seconds
    And its connection is still open

  # Guards against connections and output that are kept for a caller that reads nothing.
  Scenario Outline: A caller stops reading its answer
    Given a caller of an answer of 16000000 bytes who reads 0 bytes a second
    When the answer is ready and <end>
    Then its connection is cut off within <limit> seconds

    Examples:
      | end                           | limit |
      | the server drains             | 12    |
      | the caller had asked to close | 12    |
      | the connection stays open     | 18    |

  # Guards against a process that ends while callers still read its answers.
  Scenario: A process is stopped while callers read their answers
    Given a sidecar whose homes send safe requests to servers that work for 0 s
    When 3 callers with answers of 16000000 bytes read 4000000 bytes a second and it gets SIGTERM
    Then each of them gets the whole answer, and the process ends within 6 s

  # Guards against a caller that is reset as a slow reader before it had any time to read,
  # when the answers that waited behind a slow one are all sent.
  Scenario Outline: Many answers wait behind a slow one
    Given a process that may hold <budget> bytes for callers
    And a caller that sends a request that waits and <count> behind it
    When these are answered with <size> bytes each, the last of them in parts, and then the first
    And the caller reads at once
    Then it gets all answers whole

    Examples:
      | budget    | count | size    |
      | 134217728 | 12    | 1500000 |
      | 134217728 | 31    | 1000000 |
      | 30000000  | 12    | 1500000 |

  # Guards against readers that stop, and are kept because output was held for them before.
  Scenario: A caller reads nothing of the answers that waited
    Given a process that may hold 134217728 bytes for callers
    And a caller that sends a request that waits and 12 behind it
    When these are answered with 1500000 bytes each, the last of them in parts, and then the first
    And the caller reads nothing while the last one goes on
    Then its connection is reset after at most 20000000 more bytes

  # Guards against an answer that is dropped while it is being sent, or while the one before
  # it is, so that answers are mixed.
  Scenario Outline: The memory is taken when answers that waited are sent
    Given a process that may hold 30000000 bytes for callers
    And a caller that sends a request that waits and 12 behind it
    When these are answered with 1500000 bytes each, <taken> bytes are taken, and the first is answered
    And the caller reads all answers
    Then it gets whole answers in order, and then <end>

    Examples:
      | taken    | end                       |
      | 0        | no end                    |
      | 13000000 | the end of its connection |
      | 29000000 | the end of its connection |
