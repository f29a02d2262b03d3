Feature: A departure that a home has confirmed is never forgotten
  A server says that it leaves, with or without the start that it means, and a home that
  confirms this sends it no more work, nor does a later process on the machine. Announcements
  that were delayed arrive afterwards. Times of starts are in milliseconds.

  # Guards against a departure that is dropped because the process did not know the server.
  Scenario Outline: A notice of leaving comes before the first announcement
    Given a home that has heard of no server
    When the server "a" that started at <started> leaves at 5000 <named>
    And its announcement as ready from before arrives
    Then the server "a" gets no work
    And the departure was published and kept before it was confirmed

    Examples:
      | started | named                    |
      | 1000    | without naming its start |
      | 1000    | naming its start         |
      | 4999    | without naming its start |
      | 5000    | naming its start         |

  # Guards against a departure that a later process on the machine does not know.
  Scenario Outline: The process is replaced after the confirmation
    Given a home that has heard of no server
    When the server "a" that started at 1000 leaves at 5000 <named>
    And the process of the home is replaced, and its successor reads what was published
    And its announcement as ready from before arrives
    Then the server "a" gets no work

    Examples:
      | named                    |
      | without naming its start |
      | naming its start         |

  # Guards against a server that starts again under its id and gets no work.
  Scenario Outline: The server starts again under the same id
    Given a home that <knows>
    When the server "a" that started at 1000 leaves at 5000 <named>
    And "a" starts again at <again> and announces itself
    Then the server "a" gets work

    Examples:
      | knows                    | named                    | again |
      | has heard of no server   | without naming its start | 5001  |
      | has heard of no server   | naming its start         | 5001  |
      | has heard of no server   | naming its start         | 1001  |
      | knows "a" since its start | without naming its start | 5001  |
      | knows "a" since its start | naming its start         | 1001  |

  # Guards against a start that the home has not heard of and that the notice is about.
  Scenario: A server starts again and leaves before its home hears of the new start
    Given a home that knows "a" since its start
    When the server "a" that started at 3000 leaves at 5000 without naming its start
    And its announcement as ready from before arrives
    Then the server "a" gets no work

  # Guards against a clock that was set back and makes an old start look like a new one.
  Scenario: The machine's clock was set back before the notice
    Given a home that has heard of no server
    When the server "a" that started at 9000 leaves at 5000 without naming its start
    And its announcement as ready from before arrives
    Then the server "a" gets no work

  # Guards against a notice about an earlier start that stops work for a later one.
  Scenario: A late notice names a start before the current one
    Given a home that knows "a" since its start
    When a late notice says that the start of "a" at 500 leaves
    Then the server "a" gets work

  # Guards against any other order of notices, announcements and replaced processes.
  Scenario: Random orders of starts, notices, late announcements and replaced processes
    Then in 300 random histories no departed start gets work, and each new start does
