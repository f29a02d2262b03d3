Feature: A broken answer ends no other request of its connection
  Callers send requests behind one another on one connection. The answers are sent in order, so
  a streamed answer that is not the next waits in the process.

  # Guards against a broken answer, of which nothing has been sent, that resets the connection
  # while sound servers work on the other requests.
  Scenario Outline: A streamed answer breaks off before it is the next to be sent
    Given a caller that sends <count> safe requests behind one another
    When the answer to request <broken> breaks off while the first request still runs
    Then the answers have the statuses "<statuses>" in order
    And the connection is still open and answers another request

    Examples:
      | count | broken | statuses            |
      | 2     | 2      | 200 502             |
      | 3     | 2      | 200 502 200         |
      | 4     | 4      | 200 200 200 502     |

  # Guards against a partial answer that looks complete.
  Scenario: A streamed answer breaks off after a part of it was sent
    Given a caller that sends 2 safe requests behind one another
    When the answer to request 1 breaks off while the first request still runs
    Then the connection is reset after a part of the answer
