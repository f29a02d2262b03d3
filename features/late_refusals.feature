Feature: A refusal that a server repeats never says of a request that it did not run
  "Not run" lets a caller send an unsafe request again. A faulty server may write a
  refusal once more on a kept connection, where the next answer is due.

  # Guards against a request that is told "not run" while the server runs it.
  Scenario Outline: The repeated refusal is of the same request
    Given a server that refuses a request, and runs its repeat after writing the refusal again <when>
    When an entry offers and commits the request twice
    Then the first time it is told "not run", and the second time the answer "ran"

    Examples:
      | when                                |
      | on the connection of the refusal    |
      | on the connection of the repeat too |

  # Guards against a refusal without a request's id that is taken for one of the request
  # in progress.
  Scenario: A refusal without an id comes on a connection that carried another request
    Given a server that answers one request, and the next with a refusal without an id
    When an entry offers and commits both requests
    Then the first is answered, and of the second it is told that the outcome is unknown

  # Guards against a refusal on a new connection that is not believed.
  Scenario: A refusal without an id comes on a new connection
    Given a home with a server that sheds it
    When an entry offers and commits a request
    Then the entry is told "not run"

  # Guards against an answer head that breaks off and is passed on as a whole answer.
  Scenario: A server stops in the middle of its answer's head and closes
    When a server sends each beginning of an answer's head and closes the connection
    Then the entry is never told an answer, and the outcome is unknown each time
