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
