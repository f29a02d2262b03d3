Feature: Finding the log lines of a request
  An operator can find the decisions on a request by its id. Logging never delays
  requests.

  Scenario: The log lines of a request are collected from several logs
    Given logs of two nodes that name request "r1"
    When an operator asks why for "r1"
    Then the lines are listed in order of time with their decisions

  Scenario: A request that no log names is an error
    Given logs of two nodes that name request "r1"
    When an operator asks why for "r9"
    Then the command fails and names "r9"

  Scenario: Lines are dropped and writing does not block when the log's reader stops
    Given a log output whose reader has stopped
    When 5000 lines are written
    Then writing returns and at most 2000 lines are queued

  Scenario: The number of lines about requests is limited per second
    Given an event log that counts its lines
    When 1000 decisions on requests are logged within a second
    Then 200 are written and 800 are counted as dropped

  # Guards against request lines that are dropped and still use up the limit, so that the
  # log of a busy process lacks the changes of its configuration.
  Scenario: A change of state is logged while lines about requests are dropped
    Given an event log that counts its lines
    When 1000 decisions on requests are logged within a second
    And a configuration is applied in the same second
    Then the line about the configuration is written

  # Guards against a line whose end is lost when lines behind it are dropped.
  Scenario: Lines are dropped while the log's reader has taken a part of one
    Given a log output whose reader has stopped
    When 5000 lines are written
    And the reader goes on
    Then it gets whole lines in order, and all that were not dropped

  # Guards against values that cannot be written and end the handling of an event.
  Scenario: A line has values that JSON has no form for
    Given a log output whose reader has stopped
    When lines with odd values are written
    And the reader goes on
    Then it gets whole lines in order, and all that were not dropped
