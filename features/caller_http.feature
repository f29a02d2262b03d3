Feature: Callers of the HTTP server
  Whatever a caller or a server sends, a request runs only if it was valid, an incomplete
  answer never looks complete, and other callers get their answers.

  Scenario Outline: A request that cannot be accepted is refused before it runs
    Given an entry with one server
    When a caller sends the request "<request>"
    Then the caller gets status <status> and the server <runs> requests

    Examples:
      | request               | status | runs |
      | plain                 | 200    | 1    |
      | garbage               | 400    | 0    |
      | both lengths          | 400    | 0    |
      | two lengths           | 400    | 0    |
      | no host               | 400    | 0    |
      | two hosts             | 400    | 0    |
      | header over limit     | 431    | 0    |
      | header in two pieces  | 200    | 1    |
      | declared body too big | 413    | 0    |
      | chunked body too big  | 413    | 0    |
      | unknown encoding      | 501    | 0    |
      | tunnel                | 501    | 0    |
      | version 2.0           | 505    | 0    |
      | two at once           | 400    | 0    |
      | one and a part        | 400    | 0    |
      | trailers over limit   | 431    | 0    |
      | huge deadline         | 200    | 1    |
      | chunked with trailer  | 200    | 1    |

  Scenario: Trailers are not passed on as headers
    Given an entry with one server
    When a caller sends the request "chunked with trailer"
    Then the server has not seen "smuggled"

  Scenario: A pipelined request is answered after the one before it
    Given an entry with one server
    When a caller sends two requests, the second before the first answer
    Then both are answered in order on one connection

  Scenario: A header of 100 MB is not kept in memory
    Given an entry with one server
    When a caller sends a header of 100 MB
    Then it is cut off after at most 8 MB and other callers are answered

  Scenario: A caller that sends its request too slowly gets status 408
    Given an entry with one server
    When a caller sends half a request and waits 11 seconds
    Then the caller gets status 408 and the server 0 requests

  Scenario: Idle connections do not delay other callers
    Given an entry with one server
    When 1000 callers connect and send nothing
    Then other callers are answered
    And the idle callers are disconnected after the idle timeout

  Scenario: Requests over the limit of one caller are refused as not run
    Given an entry with a silent server and 3 requests in flight per caller
    When one caller sends 5 requests on 5 connections
    Then 3 of them run and 2 get status 429 as not run
    And a connection is free for the caller once a request has ended

  Scenario Outline: A caller that leaves cancels its request
    Given an entry with a silent server <where>
    When a caller leaves in the middle of an answer
    Then the request is cancelled at the server and no slot is in use

    Examples:
      | where             |
      | at its own node   |
      | at a remote home  |

  Scenario Outline: A caller that does not read a long answer pauses the server
    Given an entry with a server <where> that sends 64 MB
    When a caller reads nothing of the long answer
    Then at most 2 MB wait in the node and the server is paused
    And the caller gets all 64 MB once it reads

    Examples:
      | where             |
      | at its own node   |
      | at a remote home  |

  Scenario: A caller that reads nothing is cut off after its deadline
    Given an entry with a server at its own node that sends 64 MB
    When a caller reads nothing of the long answer
    Then the caller is cut off after its deadline and nothing waits for it

  Scenario: A caller that sends requests but reads no answers uses bounded memory
    Given an entry with a server at its own node that sends 200 KB
    When a caller sends 60 requests and reads no answer
    Then at most 1 MB of answers wait and later requests do not run
    And the caller is cut off after it took nothing for 11 seconds

  Scenario Outline: The request decides whether its connection is kept open
    Given an entry with one server
    When a caller sends <version> with "<header>" and method <method>
    Then the connection is <end> after an answer with <length> body bytes

    Examples:
      | version | header                 | method | end    | length |
      | 1.0     | X-A: b                 | GET    | closed | 2      |
      | 1.0     | Connection: keep-alive | GET    | closed | 2      |
      | 1.1     | X-A: b                 | GET    | kept   | 2      |
      | 1.1     | Connection: close      | GET    | closed | 2      |
      | 1.1     | X-A: b                 | HEAD   | kept   | 0      |

  Scenario Outline: An incomplete answer never looks complete
    Given an entry with a server that answers "<answer>"
    When a caller asks for it with HTTP <version>
    Then the caller gets a <seen> answer

    Examples:
      | answer               | version | seen   |
      | short                | 1.1     | broken |
      | long                 | 1.1     | broken |
      | second answer behind | 1.1     | broken |
      | unframed and reset   | 1.1     | broken |
      | unframed and reset   | 1.0     | broken |
      | chunked and cut      | 1.0     | broken |
      | chunked and cut      | 1.1     | broken |
      | switching protocols  | 1.1     | broken |
      | unframed and closed  | 1.0     | whole  |
      | unframed and closed  | 1.1     | whole  |
      | whole                | 1.1     | whole  |

  Scenario: A request that arrives as a draining node closes idle connections is answered
    Given an entry with one server
    And a caller whose connection is idle while the node drains
    When its next request arrives as the node closes idle connections
    Then the caller gets an answer to both requests
