Feature: A connection takes no request behind the answer that closes it
  An answer with "Connection: close" is the last of its connection. A request that is read
  behind it is never answered, so it must not be passed on. Homes are scripted, callers'
  sockets are real, and time is virtual.

  # Guards against requests that are passed on and dropped, as they were sent before their
  # caller could know that a streamed answer is the last.
  Scenario Outline: A request is sent while a stopping process streams an answer
    Given a caller whose answer has its head after 0.8 s and its end after 2.4 s
    When the process gets SIGTERM after 0.3 s, and the caller sends another after <sent> s
    Then the caller gets <answers> whole answers, and <passed> requests were passed on
    And the connection ends regularly

    Examples:
      | sent | answers | passed |
      | 0.1  | 2       | 2      |
      | 0.7  | 2       | 2      |
      | 0.9  | 1       | 1      |
      | 1.6  | 1       | 1      |
      | 2.36 | 1       | 1      |

  # Guards against a request whose head has been read before the last answer begins.
  Scenario: A part of a request is sent before the head of a streamed answer
    Given a caller whose answer has its head after 0.8 s and its end after 2.4 s
    When the process gets SIGTERM after 0.3 s, and the caller sends another in parts after 0.6 and 1.2 s
    Then the caller gets 2 whole answers, and 2 requests were passed on
    And the connection ends regularly

  # Guards against requests that are passed on behind one that was refused with
  # "Connection: close".
  Scenario Outline: Requests are sent behind one for which there is no memory
    Given an HTTP server that never answers
    When all memory is taken and a caller sends <count> requests in <writes> writes
    Then the caller gets status 503 and no request has been passed on
    And the server counts no memory for requests

    Examples:
      | count | writes |
      | 1     | 1      |
      | 3     | 1      |
      | 3     | 3      |

  # Guards against a request that is passed on behind such a refusal, while the refusal
  # itself waits for an earlier answer.
  Scenario: A refused request waits for the answer to an earlier one
    Given an HTTP server that never answers
    And a caller whose second request was refused while all memory was taken
    When memory is free again and the caller sends another request
    And the first request is answered
    Then the caller gets the statuses 200 and 503, and 1 request has been passed on
    And the server counts no memory for requests

  # Guards against any other order of requests and answers in which a request is passed on
  # and its connection ends without its answer.
  Scenario: Random requests behind one another around a SIGTERM
    Then in 120 random stops each request that was passed on is answered

  # Guards against a second answer to a request that offers an upgrade, which is taken for
  # the answer to the next request, and against a body that is dropped or taken for one.
  Scenario Outline: A request offers an upgrade
    Given an HTTP server that echoes bodies
    When a caller sends "<request>" and two plain requests, <how>
    Then the server has got the bodies "<bodies>"
    And the answers have the statuses "<statuses>" and the connection is <end>

    Examples:
      | request               | how               | bodies      | statuses    | end    |
      | h2c without a body    | in one write      | - - -       | 200 200 200 | open   |
      | h2c without a body    | in three writes   | - - -       | 200 200 200 | open   |
      | h2c without a body    | byte by byte      | - - -       | 200 200 200 | open   |
      | websocket             | in three writes   | - - -       | 200 200 200 | open   |
      | h2c with a length     | in one write      | abcd - -    | 200 200 200 | open   |
      | h2c with a length     | byte by byte      | abcd - -    | 200 200 200 | open   |
      | h2c in chunks         | in one write      | abcd - -    | 200 200 200 | open   |
      | h2c in chunks         | byte by byte      | abcd - -    | 200 200 200 | open   |
      | h2c with length 0     | in one write      | - - -       | 200 200 200 | open   |
      | a hidden request      | in one write      | hidden - -  | 200 200 200 | open   |
      | h2c that closes       | in three writes   | abcd        | 200         | closed |
      | both lengths          | in one write      |             | 400         | closed |
      | a tunnel              | in three writes   |             | 501         | closed |
