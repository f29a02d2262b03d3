Feature: Connections that go silent do not delay a configuration
  A connection may lose all that is sent on it without being closed, while new ones
  work. A process is held to the bound of the configuration, 2 seconds, from 3 seconds
  after such a loss. Sockets are real, and time is virtual.

  # Guards against connections to the store that are tried one by one after they have
  # gone silent, each for a timeout and with a growing delay.
  Scenario Outline: All connections of a process to the store go silent
    Given <process> that reaches the store but none of its peers, with random seed <seed>
    When its connections to the store go silent and the configuration changes
    Then it has the change within 3 seconds

    Examples:
      | process                      | seed |
      | a watcher                    | 1    |
      | a watcher                    | 2    |
      | a watcher                    | 3    |
      | a process that is no watcher | 1    |
      | a process that is no watcher | 2    |
      | a process that is no watcher | 3    |

  # Guards against requests for the configuration that are sent over a silent link again
  # and again.
  Scenario: The link to the peer that announces a newer configuration is silent
    Given a process that has got its configuration from a peer
    When their link goes silent and the peer announces a newer version each 0.4 seconds
    Then the process has the newer version within 2 seconds

  # Guards against requests for the configuration that try one silent link after the
  # other. Half of the bound is for reading the store, half for spreading the change.
  Scenario: The links to all peers are silent
    Given a process that has links to 20 peers
    When all links go silent and a peer announces a newer version each 0.2 seconds
    Then the process has the newer version within 1 second

  # Guards against requests that run twice, or get no true answer, when the links between
  # sidecars go silent for good, and against links that are not opened anew.
  Scenario Outline: The links to all homes go silent
    Given an entry with links to 3 homes whose servers work for 0.5 s
    When all its links go silent <when>, and <kind> request has 4 s of time
    Then its caller gets <status> within 2 s
    And it has run <runs>
    And another request 1 s later gets 200 within 1 s

    Examples: no home answers an offer, so the request has not run
      | when                     | kind      | status | runs  |
      | before the request comes | a safe    | 503    | never |
      | before the request comes | an unsafe | 503    | never |

    Examples: the outcome is fetched over a new link, or the request may be repeated
      | when                     | kind      | status     | runs          |
      | while the server works   | an unsafe | 200        | once          |
      | while the server works   | a safe    | 200 or 502 | at most twice |
