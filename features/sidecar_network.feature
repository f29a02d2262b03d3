Feature: A sidecar on the network
  Connections of callers, of servers and between sidecars run here on loopback sockets.

  Scenario: Pipelined requests are answered in their order
    Given an HTTP server that answers the second request before the first
    When a caller sends two requests in one write
    Then it reads "first" and then "second"

  Scenario: Requests may come in single bytes and in chunks
    Given an HTTP server that echoes bodies
    When a caller sends a chunked body byte by byte
    Then it reads its whole body back

  Scenario Outline: Requests beyond the limits are refused and the connection closes
    Given an HTTP server that echoes bodies
    When a caller sends "<request>"
    Then it gets <status> and the connection ends

    Examples:
      | request                | status |
      | a head of 20000 bytes  | 431    |
      | a body of 2000 bytes   | 413    |
      | two lengths            | 400    |
      | no HTTP                | 400    |

  Scenario: A caller that stalls in a head gets 408
    Given an HTTP server that echoes bodies
    When a caller sends half a head and waits 6 seconds
    Then it gets 408 and the connection ends

  Scenario: A draining server closes kept connections between answers only
    Given an HTTP server that answers the second request before the first
    When a caller sends two requests in one write and the server drains
    Then it reads "first" and then "second"
    And the connection ends

  Scenario: A caller that leaves is noticed
    Given an HTTP server that never answers
    When a caller sends a request and closes
    Then the request's watcher hears of it

  Scenario: A home sends a request once with the instance and the time left
    Given a home with a server that answers "ok"
    When an entry offers and commits a request
    Then the server got it once with its instance, the service and the time left
    And the entry gets the server's answer

  Scenario Outline: What a server does decides what the entry is told
    Given a home with a server that <behaviour>
    When an entry offers and commits a request
    Then the entry is told "<outcome>"

    Examples:
      | behaviour                    | outcome  |
      | sheds it                     | not run  |
      | is another instance          | not run  |
      | refuses the connection       | not run  |
      | closes without an answer     | unknown  |
      | answers another request      | unknown  |
      | breaks off in the answer     | unknown  |
      | succeeds without its seal    | unknown  |

  Scenario: A late answer to another request is skipped
    Given a home with a server that answers another request first
    When an entry offers and commits a request
    Then the entry gets the server's answer

  Scenario: A second answer behind the first spoils only the connection
    Given a home with a server that answers twice
    When an entry offers and commits a request
    Then the entry gets the server's answer
    And the next request uses a new connection

  Scenario: A home never runs more requests than the server has slots
    Given a home with a server that never answers
    When an entry offers 6 requests and commits those that are granted
    Then the server got 4 requests and 2 were turned down

  Scenario: A queued request gets the slot of one that is cancelled
    Given a home with a server that never answers
    When an entry fills the slots, queues one by force and cancels the first
    Then the queued one is granted

  Scenario: A drained server gets nothing, not even after a grant
    Given a home with a server that answers "ok"
    When the server drains between the grant and the request
    Then the entry is told "not run"
    And the server got nothing

  Scenario: A home whose link broke hands out the outcome once more
    Given a home with a server that answers "ok"
    When the link breaks before the answer and the entry asks on a new one
    Then the entry gets the server's answer
    And the server got it once

  Scenario: A request that was lost with its link never runs
    Given a home with a server that answers "ok"
    When the link breaks after the grant and the entry asks on a new one
    Then the entry is told "not run"
    And a late copy of the request is refused

  Scenario: A repeatable request of an entry that does not come back is cancelled
    Given a home with a server that never answers
    When the link breaks after the request and 2 seconds pass
    Then the server's connection is closed

  Scenario: A request that crashes servers is refused after the second crash
    Given homes with servers that crash on each request
    When one request crashes two of them
    Then it is refused everywhere, and another request is not

  Scenario: A crash counts although the entry gave the request up meanwhile
    Given a home with a server that crashes
    When the entry cancels the request while the home looks for the server
    Then the crash is reported

  Scenario: A server that resets connections has not crashed
    Given a home with a server that closes without an answer
    When an entry offers and commits a request
    Then no crash is reported

  Scenario: A home takes no repeated run whose calls it cannot pay for
    Given a home with a server that answers "ok"
    When its entry has no retry left for the calls of a repeated run
    Then a repeated request is turned down and a first one is taken
