Feature: A sidecar on the network
  Connections with callers, servers and other sidecars use loopback sockets.

  Scenario: Pipelined requests are answered in request order
    Given an HTTP server that answers the second request before the first
    When a caller sends two requests in one write
    Then it receives "first" and then "second"

  Scenario: A request may arrive byte by byte and in chunks
    Given an HTTP server that echoes bodies
    When a caller sends a chunked body byte by byte
    Then it receives its whole body back

  Scenario Outline: Requests beyond the limits are refused and the connection closes
    Given an HTTP server that echoes bodies
    When a caller sends "<request>"
    Then it gets <status> and the connection is closed

    Examples:
      | request                | status |
      | a head of 20000 bytes  | 431    |
      | a body of 2000 bytes   | 413    |
      | two lengths            | 400    |
      | no HTTP                | 400    |

  # Guards against a connection that stays open after a request that cannot be read, and
  # against one that ends before an earlier request has its answer.
  Scenario: A request that cannot be read comes behind one that is still unanswered
    Given an HTTP server that never answers
    When a caller sends a request and then bytes that are no request
    And the request is answered 5 seconds later
    Then the caller gets that answer and then 400
    And the connection is closed

  Scenario: A caller that does not finish a request head gets 408
    Given an HTTP server that echoes bodies
    When a caller sends half a request head and waits 6 seconds
    Then it gets 408 and the connection is closed

  Scenario: A draining server closes persistent connections only between answers
    Given an HTTP server that answers the second request before the first
    When a caller sends two requests in one write and the server drains
    Then it receives "first" and then "second"
    And the connection is closed

  Scenario Outline: A request that has arrived when a stop begins is answered
    Given an HTTP server that echoes bodies
    When a caller's request arrives <when> and the server <action>
    Then the caller gets its answer
    And the connection is closed

    Examples:
      | when                         | action |
      | on an open connection        | drains |
      | on an open connection        | closes |
      | on a connection not accepted | drains |
      | on a connection not accepted | closes |

  Scenario: The end of a caller's connection is reported
    Given an HTTP server that never answers
    When a caller sends a request and closes
    Then the request's watcher is called

  Scenario: A home sends a request once, with the instance and the remaining time
    Given a home with a server that answers "ok"
    When an entry offers and commits a request
    Then the server got it once with its instance, the service and the remaining time
    And the entry gets the server's answer

  Scenario Outline: The server's behaviour decides which outcome the entry is told
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

  Scenario: After an unexpected second answer the connection is not used again
    Given a home with a server that answers twice
    When an entry offers and commits a request
    Then the entry gets the server's answer
    And the next request uses a new connection

  Scenario: A home never runs more requests than the server has slots
    Given a home with a server that never answers
    When an entry offers 6 requests and commits those that are granted
    Then the server got 4 requests and 2 were refused

  Scenario: A queued offer gets the slot of a cancelled request
    Given a home with a server that never answers
    When an entry fills the slots, queues a forced offer and cancels the first request
    Then the queued offer is granted

  Scenario: A draining server gets no requests, not even one that was granted
    Given a home with a server that answers "ok"
    When the server drains between the grant and the request
    Then the entry is told "not run"
    And the server got nothing

  Scenario: A home reports an outcome again after its link broke
    Given a home with a server that answers "ok"
    When the link breaks before the answer and the entry asks again on a new link
    Then the entry gets the server's answer
    And the server got it once

  Scenario: A request that was lost when its link broke never runs
    Given a home with a server that answers "ok"
    When the link breaks after the grant and the entry asks again on a new link
    Then the entry is told "not run"
    And a late copy of the request is refused

  Scenario: An idempotent request is cancelled if its entry does not reconnect
    Given a home with a server that never answers
    When the link breaks after the request and 2 seconds pass
    Then the server's connection is closed

  Scenario: A request is refused after it has crashed two servers
    Given homes with servers that crash on each request
    When one request crashes two of them
    Then it is refused once the crashes are reported, and another request is not

  Scenario: A crash is reported although the entry has cancelled the request
    Given a home with a server that crashes
    When the entry cancels the request while the home checks the server
    Then the crash is reported

  Scenario: A closed connection is not reported as a crash
    Given a home with a server that closes without an answer
    When an entry offers and commits a request
    Then no crash is reported

  Scenario: A home refuses a repeated run whose calls exceed the retry budget
    Given a home with a server that answers "ok"
    When the retry budget is used up for the calls of a repeated run
    Then a repeated request is refused and a first one is granted

  # Guards against repeated runs that were all accepted before the first of them started.
  Scenario: The retry budget is spent between the offer and the start of a repeated run
    Given a home with a server that never answers
    When 3 repeated requests are granted, and the calls of the first use up the budget
    Then the other two are refused as not run when their requests arrive

  Scenario: A grant that ran out while its home was paused is no longer used
    Given a home with a server that answers "ok"
    When the home is paused for 5 seconds between the grant and the request
    Then the entry is told "not run"
    And the server got nothing

  Scenario: A link to a peer that has left is not opened again
    Given links to a peer that left and to one that is only unreachable
    When the sidecar runs for 10 seconds
    Then only the unreachable peer is tried again
