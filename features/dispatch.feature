Feature: Requests at their home
  Each caller gets exactly one answer, its own, and a request that is refused as not
  run was not run, however the servers behave.

  Scenario Outline: Random mixes of endings give each caller exactly its own answer
    Then 60 random mixes of <work> work at a home <where> end in one answer each
    And the mixes held every kind of ending

    Examples:
      | work       | where         |
      | idempotent | in place      |
      | idempotent | behind a link |
      | unkeyed    | in place      |
      | unkeyed    | behind a link |

  Scenario: A draining server gets no new requests
    Given an entry with 2 servers that answer
    When the first of the servers drains and 20 requests are sent
    Then all 20 are answered by the second server

  Scenario: A server that refuses connections is skipped
    Given an entry for idempotent work, a server that refuses connections and one that answers
    When 5 requests are sent to the entry one after another
    Then all 5 are answered in full and each ran once on the last server

  Scenario: A request that is not idempotent and has no key gets one attempt
    Given an entry for unkeyed work, a server that refuses connections and one that answers
    When 5 requests are sent to the entry one after another
    Then some are answered, and the others did not run and are refused as not run

  Scenario: A request to an address that cannot be reached counts as not run
    Given an entry with only a server at an address that cannot be reached
    When 1 requests are sent to the entry one after another
    Then the last answer has status 503 and outcome "not-run"

  Scenario: A late answer to a cancelled request is discarded
    Given an entry with a server that answers late
    When a caller disconnects before its answer arrives and another sends a request
    Then the other caller gets only its own answer

  Scenario: A connection that the server closes after its answer is not used again
    Given an entry with a server that announces the close of its connection
    When 5 requests are sent to the entry one after another
    Then all 5 are answered in full and each ran once on the last server
    And each request had a connection of its own

  Scenario: A duplicate of a running request does not replace it
    Given an entry with a server that answers late
    When a home gets one request twice
    Then the second is refused and the first still gets its answer

  Scenario: A readiness event of a closed descriptor does not reach its successor
    Given two descriptors of a poller that are ready at once
    When the handler of the first replaces the second under the same number
    Then the new descriptor's handler is not called

  Scenario: An endpoint whose flush fails does not stop the others
    Given two endpoints of a poller that have output
    When the flush of the first one raises
    Then the second one is flushed in the next turn

  Scenario: A loop that waits for a late timer handles a signal at once
    Given a loop whose next timer is due in 5 seconds
    When the process gets a signal while the loop waits
    Then the signal is handled within a second

  # Guards against confirmations of keys that count as new, though they waited while the
  # process was suspended: the wait in which it was suspended ends without events.
  Scenario: A datagram arrives while a process is suspended in its wait
    Given a process that waits for a datagram
    When it is suspended for 1 second, and the datagram arrives meanwhile
    Then the datagram does not count as sent after the suspension

  # Guards against the same at each other point of the loop: what a wait finds may have
  # arrived before the wait began.
  Scenario Outline: A datagram arrives while a process is suspended <point>
    Given a process that suspends itself <point>
    When a datagram arrives 0.1 seconds before it goes on
    Then the datagram does not count as sent after the suspension

    Examples:
      | point                                           |
      | before the first wait                           |
      | between two waits                               |
      | before the clock is read                        |
      | after the clock is read                         |
      | in a flush                                      |
      | in a handler                                    |
      | before a turn that fails                        |
      | before a turn that finds other events only      |

  # Guards against the same where the first turn leaves some of them in the socket.
  Scenario: More datagrams than a turn takes arrive while a process is suspended
    Given a process that gets more datagrams than a turn takes, and is suspended between two waits
    When a datagram arrives 0.1 seconds before it goes on
    Then no datagram counts as sent after the suspension

  # Guards against a bound so careful that confirmations count as old in calm.
  Scenario: A datagram that arrives in calm is dated near its arrival
    Given a process that waits for a datagram
    When a datagram arrives in calm
    Then it counts as sent at most two waits and 1 s before
