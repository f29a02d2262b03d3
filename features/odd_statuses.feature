Feature: Answers with a status outside the protocol
  A server in trouble may answer with a status outside 100 to 599. Such an answer is never
  passed on, and the request counts as one of unknown outcome.

  # Guards against statuses below 100 that are taken as interim answers, so that the caller
  # waits, and against statuses above 599 that reach the caller.
  Scenario Outline: A home is told that the outcome is unknown
    Given a home whose server answers with the status line "<status>"<before>
    When an entry offers and commits a request
    Then the entry is told "unknown" and got no answer
    And the server's connection is closed

    Examples:
      | status | before                      |
      | 000    |                             |
      | 001    |                             |
      | 099    |                             |
      | 600    |                             |
      | 999    |                             |
      | 000    | behind an interim answer    |
      | 099    | behind an interim answer    |
      | 600    | behind an interim answer    |
      | 999    | behind an interim answer    |
      | 20     |                             |
      | 1000   |                             |
      | -20    |                             |
      | 20x    |                             |
      | 101    |                             |

  # Guards against the same in the other way of running.
  Scenario Outline: A node does not pass the answer on
    Given a node whose server answers with the status line "<status>" to <kind> work
    When a caller sends a request to the node
    Then the caller gets 502, and the server got the request <times>

    Examples:
      | status | kind       | times          |
      | 000    | unkeyed    | once           |
      | 099    | unkeyed    | once           |
      | 600    | unkeyed    | once           |
      | 999    | unkeyed    | once           |
      | 000    | idempotent | more than once |
      | 600    | idempotent | more than once |

  # Guards against a caller who waits on for as long as interim answers come.
  Scenario: A server sends interim answers until the deadline and beyond
    Given a node whose server sends an interim answer every 0.1 s
    When a caller sends a request to the node
    Then the caller gets 504, and the server got the request once

  # Guards against such an answer from a home of an older build, which passes it on.
  Scenario Outline: A home passes the answer on to the entry of a caller
    Given a caller of <kind> work whose homes pass on status <status>
    When the request is sent
    Then the caller is answered <final> after <runs> sent requests

    Examples:
      | kind   | status | final | runs |
      | unsafe | 600    | 502   | 1    |
      | unsafe | 0      | 502   | 1    |
      | safe   | 999    | 502   | 2    |
