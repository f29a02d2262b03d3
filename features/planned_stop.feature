Feature: A stopping process answers every request that it takes
  After SIGTERM a process takes requests until its callers have noticed the stop, and ends
  within the grace period of 6 s. Homes are scripted, callers' sockets are real, and time is
  virtual.

  # Guards against requests that wait for a slot and get no answer when the process ends.
  Scenario Outline: A request is still waiting when the grace period ends
    Given a sidecar whose homes let requests wait
    When it gets SIGTERM, and <callers> callers send a <kind> request <after> s later
    Then each is answered 503 before the process ends, within 6 s of the SIGTERM
    And the process ended by itself

    Examples:
      | callers | kind   | after |
      | 3       | safe   | 1.5   |
      | 3       | unsafe | 1.5   |
      | 3       | safe   | -0.5  |
      | 3       | unsafe | 2.2   |

  # Guards against a connection that ends without a word about a request that may run.
  Scenario Outline: A request runs at a server when the grace period ends
    Given a sidecar whose homes send <kind> requests to servers that work for 9 s
    When it gets SIGTERM, and 2 callers send a <kind> request -1 s later
    Then each is answered 502 before the process ends, within 6 s of the SIGTERM
    And the process ended by itself

    Examples:
      | kind   |
      | safe   |
      | unsafe |
