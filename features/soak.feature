Feature: Soak test of sidecar processes
  Sidecar processes run on loopback with simulated servers and a simulated store. The
  processes are killed, stopped and paused, and their dependencies fail. To run more
  seeds, use "python -m tools.soak".

  Scenario: A short run of one seed violates no guarantee
    When 3 sidecar processes run for 6 seconds under the random faults of seed 1
    Then no guarantee is violated and requests succeed after the faults have ended

  Scenario Outline: The link proxy applies the fault of its mode
    Given a link through the link proxy in the mode "<mode>"
    When the entry sends a request
    Then the home receives the request <arrival>

    Examples:
      | mode        | arrival                             |
      | passing     | immediately                         |
      | delayed     | after the delay                     |
      | reset       | never, and its connection is closed |
      | cut-towards | never                               |
      | silent      | never                               |
      | cut-back    | immediately                         |

  Scenario: A link that lost bytes is closed when the fault ends
    Given a link through the link proxy in the mode "silent"
    When the entry sends a request
    And the fault ends
    Then the connection of the entry is closed

  # Guards against a soak that does not see lost answers, or reports those that could not come.
  Scenario Outline: Requests behind one another get their own answers
    Given a server that sends "<answers>" to 3 requests of one connection, and closes it
    Then these end as "<ends>"

    Examples:
      | answers             | ends                                   |
      | whole, whole, whole | 200, 200, 200                          |
      | whole               | 200, no answer, no answer              |
      | whole, part         | 200, cut off, impossible               |
      | last                | 200, behind the last, behind the last  |

  # Guards against servers of the soak that go on for callers that have left.
  Scenario Outline: A server answers in parts
    Given a server that answers in <count> parts of 1000 bytes
    Then a caller gets <sent> parts within 1 s
    And the server sends no more once the caller has left

    Examples:
      | count  | sent |
      | 3      | 3    |
      | no end | 20   |
