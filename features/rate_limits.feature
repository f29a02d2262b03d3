Feature: Requests keep to the rate that a server names in its answers
  A server in trouble names the requests a second that it takes from all callers
  together, for as long as its answers say so. In any 4 seconds it may get at most one and
  a half times what the rate allows, and 5 requests. Servers are scripted, on loopback
  sockets in virtual time.

  Scenario: Whatever is asked, a bucket admits no more than the rate and a small burst
    When requests arrive at random at random rate limits
    Then no 4 seconds have more requests than the limit allows

  Scenario Outline: A limit that changes with each answer still admits its rate
    When a server names <first> and <second> requests per second by turns for 20 seconds
    Then between <least> and <most> requests are admitted

    Examples:
      | first | second | least | most |
      | 2.0   | 2.2    | 39    | 45   |
      | 0.0   | 0.1    | 4     | 6    |

  # Guards against homes that send as much as the slots take, whatever the server names.
  Scenario Outline: A server that names a limit gets no more from all entries together
    Given a home whose server answers after 0.2 s and names a limit of <limit> a second
    When 3 entries offer it requests all the time, <forced> force, for 15 seconds
    Then no 4 seconds have more requests than the limit allows
    And the server gets at least 0.9 of what the limit allows

    Examples:
      | limit | forced  |
      | 1.0   | without |
      | 2.9   | without |
      | 5.8   | without |
      | 1.0   | by      |
      | 5.8   | by      |

  # Guards against a restarted home that does not know the limit of its running server.
  Scenario: A limit holds across a restart of the home
    Given a home whose server answers after 0.2 s and names a limit of 1.0 a second
    When 3 entries offer it requests all the time, without force, for 8 seconds
    And the home restarts
    And 3 entries offer it requests all the time, without force, for 8 seconds
    Then no 4 seconds have more requests than the limit allows

  Scenario: A limit ends with the first answer that does not name it
    Given a home whose server answers after 0.2 s and names a limit of 1.0 a second
    When 3 entries offer it requests all the time, without force, for 6 seconds
    And the server names no limit any more
    And 3 entries offer it requests all the time, without force, for 3 seconds
    Then the last second has more than 10 requests

  Scenario: A limit of an earlier server does not bind the next one
    Given a home whose server answers after 0.2 s and names a limit of 1.0 a second
    When 3 entries offer it requests all the time, without force, for 6 seconds
    And the server is replaced by one without a limit
    And 3 entries offer it requests all the time, without force, for 3 seconds
    Then the last second has more than 10 requests

  Scenario Outline: A request that the limit keeps waiting too long is refused at once
    Given a server with a limit of <rate> a second that admits the next request in <wait> s
    When a forced attempt with <objective> s to its objective and 4 s left arrives
    Then the offer is <verdict>

    Examples:
      | rate | wait | objective | verdict |
      | 1.0  | 0.0  | 1.0       | grant   |
      | 1.0  | 0.5  | 1.0       | queue   |
      | 1.0  | 0.9  | 1.0       | busy    |
      | 0.25 | 3.0  | 1.0       | busy    |

  Scenario: A home that has reached its server's limit reports that it is full
    Given a home whose server answers after 0.2 s and names a limit of 1.0 a second
    When 3 entries offer it requests all the time, without force, for 6 seconds
    Then its refusals report no free slot

  # Guards against requests that wait behind more urgent ones until their deadline.
  Scenario: A waiting request that more urgent ones delay too long is refused soon
    Given a home whose server answers after 0.2 s and names a limit of 1.0 a second
    When an entry offers it a request once a second for 4 seconds
    And a request waits for the limit and a more urgent one arrives
    Then the waiting request is refused as busy within 0.4 s
    And the more urgent one is granted within 1.2 s
