Feature: Servers and callers that send what is no answer or request
  A broken peer may send bytes without end or break off midway. One connection may make
  the process hold a bounded number of bytes, and the outcome is still told truthfully.

  Scenario Outline: A server that sends bytes without end is cut off
    Given a home whose server sends <bytes> without end
    When an entry offers and commits a request
    Then the entry is told "unknown"
    And the home has taken at most 2 MB from the server

    Examples:
      | bytes                   |
      | one header              |
      | one status line         |
      | headers                 |
      | interim answers         |
      | another request's body  |
      | an unsigned body        |

  Scenario: A server that says it did not run a request, without end, is cut off
    Given a home whose server sends a refusal's body without end
    When an entry offers and commits a request
    Then the entry is told "not run"
    And the home has taken at most 2 MB from the server

  Scenario: A streamed answer waits while the link to the entry is full
    Given a home whose server sends a signed body without end
    When an entry offers and commits a request on a link that is full
    Then the home has taken at most 3 MB from the server after 5 seconds

  Scenario Outline: A caller that sends a request head without end is cut off
    Given an HTTP server that echoes bodies
    When a caller sends <bytes> without end
    Then it gets 431 or a closed connection before it has sent 1 MB

    Examples:
      | bytes        |
      | one header   |
      | one target   |
      | headers      |

  Scenario Outline: The outcome of a streamed answer counts like that of a whole one
    Given a home whose server streams an answer with status <status> and <ends>
    When an entry offers and commits a request that is streamed
    Then the home's estimate counts it as a <outcome>

    Examples:
      | status | ends       | outcome |
      | 200    | ends       | success |
      | 500    | ends       | failure |
      | 200    | breaks off | failure |

  Scenario: Link messages with fields of other types are malformed
    When random link messages are decoded
    Then each is a message whose fields have their types, or malformed

  Scenario: No gossip datagram raises an error or changes the age of the newest reading
    When random gossip datagrams arrive
    Then each is applied or logged as malformed
    And no datagram makes the newest reading of the store newer than now

  # Guards against memory that a peer fills with one message without end. A process may
  # use 300 MB.
  Scenario Outline: A peer that sends <what> without end on a link is cut off
    Given a link that a peer has opened
    When the peer sends <what> without end
    Then the link is closed before it has taken 150 MB

    Examples:
      | what         |
      | one text     |
      | one list     |
      | nested lists |

  # Guards against a call to the store that collects bytes without end.
  Scenario Outline: A store that answers <what> without end is cut off
    Given a client of a store that answers <what> without end
    When it calls the store
    Then the call fails, and the client has taken at most 8 MB

    Examples:
      | what       |
      | one header |
      | headers    |
      | a body     |
      | a chunk    |

  Scenario: An error in one message does not lose the messages after it
    Given a link whose receiver fails on the first message
    When three messages arrive in one piece
    Then the other two are handled, and the error is counted and logged

  Scenario: Whatever copies of answers a server sends, a request gets its own answer
    When a server answers requests with copies of earlier answers, cut at random
    Then each request got its own answer, or was told that its outcome is unknown

  Scenario: A caller that does not read a streamed answer is cut off
    Given an HTTP server that streams an answer without end
    When a caller sends a request and does not read
    Then its connection is reset after at most 32 MB, and the request's watcher is told

  Scenario: Every call to the store ends, whatever the store answers
    When the store answers calls with random documents
    Then each call gave its result once

  # Guards against an odd entry whose text makes the processes which list it exceed their
  # memory, or keeps them from anything else.
  Scenario Outline: A large odd document takes memory and time in proportion to its size
    Given a document of 1 MB that the JSON decoder rejects, with <content>
    When the document is decoded
    Then that took at most 20 MB and 2 seconds

    Examples:
      | content                                           |
      | a text without escapes                            |
      | a text of escapes                                 |
      | a text of quotation marks                         |
      | a text of quotation marks that has no end         |
      | a text that ends in a backslash                   |
      | nested lists                                      |
      | lists and objects by turns                        |

  # Guards against one odd entry that makes the processes which list the records end, or
  # lose the rest of the listing.
  Scenario Outline: One odd entry among the records in the store does not affect the others
    Given a store that lists an entry with <oddity> between the records of two peers
    When a process lists the records and merges and gossips them
    Then it knows exactly the two peers, and can send to them

    Examples:
      | oddity                              |
      | 100000 nested lists                 |
      | nested lists as its node            |
      | a number of 5000 digits             |
      | an incarnation of 2 to the 64       |
      | an incarnation of 2 to the 63 less 1 |
      | a negative revision                 |
      | port 70000                          |
      | port -4                             |
      | a host name instead of an address   |
      | a lone surrogate in its node        |
      | a node of 100000 characters         |
      | another node than its name          |
      | a text instead of true              |
      | 1000 departures                     |
      | bytes that are not UTF-8            |
      | no name                             |
      | no object                           |

  Scenario: A listing whose last name cannot be used to continue still ends
    Given a store that lists one page again and again
    When a process lists the records
    Then it gets the records of the page
