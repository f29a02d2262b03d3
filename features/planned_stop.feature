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

  # Guards against requests that are passed on late in the grace period, and are cut off
  # while they run when it ends.
  Scenario Outline: A request that may outlast the process comes after the SIGTERM
    Given a sidecar whose homes send <kind> requests to servers that work for 4.5 s
    When it gets SIGTERM, and 2 callers send a <kind> request <after> s later
    Then each is answered 503 within 0.2 s
    And none of them has been passed on to a server

    Examples:
      | kind   | after |
      | safe   | 0     |
      | unsafe | 0     |
      | safe   | 0.6   |
      | unsafe | 1.0   |
      | safe   | 1.3   |
      | unsafe | 1.3   |
      | safe   | 1.6   |
      | unsafe | 1.9   |
      | safe   | 2.2   |
      | unsafe | 2.2   |

  # Guards against refusals of requests whose time ends before the process does.
  Scenario Outline: A request that ends in time comes after the SIGTERM
    Given a sidecar whose homes send <kind> requests to servers that work for 0.8 s
    When it gets SIGTERM, and 2 callers send a <kind> request with 3 s of time <after> s later
    Then each is answered 200 within 1 s

    Examples:
      | kind   | after |
      | safe   | 0     |
      | unsafe | 1.0   |
      | safe   | 2.2   |
      | unsafe | 2.2   |

  # Guards against a request that waits for a slot until a SIGTERM, and is started so late
  # that it is cut off.
  Scenario Outline: A waiting request gets a slot after the SIGTERM
    Given a sidecar whose homes let requests wait for 2 s, and servers that work for 4.5 s
    When it gets SIGTERM, and 2 callers send a <kind> request -1 s later
    Then each is answered 503 within 1.2 s
    And none of them has been passed on to a server

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  # Guards against any other mix of times in which a request is cut off, or is told "not
  # run" though it ran.
  Scenario: Random requests around a SIGTERM
    Then in 40 random stops each request gets a truthful answer
