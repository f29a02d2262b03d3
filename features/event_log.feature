Feature: Explaining a request afterwards
  Logs must lead from a request's id to its cause, and must never hold up requests.

  Scenario: The story of a request is put together from several logs
    Given logs of two nodes that name request "r1"
    When an operator asks why for "r1"
    Then the lines come in the order of their times with their decisions

  Scenario: A request that no log names is an error
    Given logs of two nodes that name request "r1"
    When an operator asks why for "r9"
    Then the command fails and names "r9"

  Scenario: A reader that stops costs lines and no time
    Given a log output whose reader has stopped
    When 5000 lines are written
    Then writing returns and 2000 lines at most are held

  Scenario: A flood of decisions is bounded by the second
    Given an event log that counts its lines
    When 1000 decisions on requests are logged within a second
    Then 200 are written and 800 are counted as dropped
