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

  # Guards against the same in a successor, which reads only the bound.
  Scenario: The machine's clock was set back before the notice, and the process replaced
    Given a home that has heard of no server
    When the server "a" that started at 9000 leaves at 5000 without naming its start
    And the process of the home is replaced, and its successor reads what was published
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

  # Guards against a confirmation that is given although the store has no record of it, so
  # that a later process does not know of the departure.
  Scenario Outline: A notice of leaving is confirmed only when the store has it
    Given a process whose store is <store>
    When its server leaves
    Then its server gets no more work at once
    And its server is answered <status> within a second
    When the store answers again for 3 seconds and the server leaves once more
    Then its server is answered 200 within a second
    And the store has the departure

    Examples:
      | store                            | status |
      | serving                          | 200    |
      | busy                             | 503    |
      | silent                           | 503    |
      | resetting                        | 503    |
      | not read by the process so far   | 503    |

  # Guards against a write of the former record that ends after that of the departure.
  Scenario: The record is being written when the server leaves
    Given a process whose first write to the store takes 0.3 seconds
    When its server leaves while that write is on its way
    Then its server is answered 200 within a second
    And the store has the departure

  # Guards against departures of an earlier process that are overwritten before they are read.
  Scenario: The server leaves before the process has read its predecessor's record
    Given a process whose predecessor saved a departure, and a store that is slow to list
    When its server leaves
    Then its server is answered 200 within a second
    And the store has both departures

  # Guards against a call to the store for each repeated notice.
  Scenario: A draining server repeats its notice
    Given a process whose store is serving
    When its server announces 10 times that it drains
    Then each is answered 200, and the record is written once

  # Guards against a write without an answer that takes effect after the departure was
  # written, and replaces it.
  Scenario Outline: A write of the former record takes effect late
    Given a process whose <write> was not answered and takes effect 2 seconds later
    When its server leaves after the store answers again
    Then its server is answered 200 within a second
    And the store still has the departure 3 seconds later

    Examples:
      | write                                     |
      | first write over its predecessor's record |
      | first write                               |

  # Guards against the record of a new process that is removed as that of a former one.
  Scenario: A process is replaced before another one retires its record
    Given a process that has left, and a watcher that has listed its record as running
    When the process is replaced, and the watcher retires the former record
    Then the store has the record of the new process

  # Guards against calls to the store without a pause while another writer holds the entry.
  Scenario: Each write conflicts with one of another writer
    Given a process whose entry in the store another writer changes all the time
    When its server leaves
    Then its server is answered 503 within a second
    And at most 16 calls were made to the store in that second
