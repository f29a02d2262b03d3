Feature: Choice of homes by cost

  Homes are compared by when a request would be done there. Traffic between failure
  domains is charged, servers differ in speed and reports are old when they are used.

  # Guards against requests that leave their failure domain although it has room, and
  # against crests that do not use the room of domains in their trough.
  Scenario: Crests of failure domains that do not coincide
    When 4 failure domains at 0.85 of their capacity have their crests in turn
    Then at least 0.99 of the answers are on time
    And at most 0.2 of the requests leave their failure domain
    And fewer than half as many leave it as with a choice by load

  # Guards against slow servers that get as many requests as fast ones.
  Scenario: Slow servers beside fast ones
    When every fourth server takes twice as long at 0.8 of the capacity
    Then at least 0.99 of the answers are on time
    And slow servers get between 0.05 and 0.6 of the requests of fast ones

  # Guards against homes compared by the number of waiting requests, which says nothing
  # about how long they take.
  Scenario: A long queue of short work and a short queue of long work
    Given an own home with 9 waiting requests and a backlog of 0.4 s
    And an own home with 2 waiting requests and a backlog of 1.4 s
    When 50 requests choose a home
    Then all of them choose the home "h0"

  # Guards against differences within the noise of healthy servers that outweigh the
  # distance: 0.02 against 0.05 used to be enough.
  Scenario Outline: Failure estimates and the distance
    Given an own home with a failure probability of <own>
    And a home of another failure domain with a failure probability of 0.01
    When 50 requests choose a home
    Then all of them choose the home "<home>"

    Examples:
      | own  | home |
      | 0.05 | h0   |
      | 0.20 | h0   |
      | 0.60 | h1   |

  # Guards against entries of a domain that leave it, or return to it, together.
  Scenario Outline: The share of requests that leave grows with what they gain
    Given 3 own homes with a backlog of <backlog> s and 3 idle ones of another domain
    When 200 requests choose a home
    Then between <least> and <most> of them leave the failure domain

    Examples:
      | backlog | least | most |
      | 0.1     | 0.0   | 0.0  |
      | 0.7     | 0.1   | 0.9  |
      | 2.0     | 1.0   | 1.0  |

  # Guards against neighbours that all run to the home that was idle in the newest report.
  Scenario Outline: Entries with the same old reports
    Given 20 entries that know of one idle home and 8 with a backlog of <backlog> s
    When each entry chooses a home for 3 requests
    Then at most 0.6 of the requests go to one home
    And at least 6 homes get requests

    Examples:
      | backlog |
      | 0.2     |
      | 1.0     |

  # Guards against a server that is full before it has warmed up, and against one that
  # gets nothing and so stays cold.
  Scenario: A home that is new to the entry gets more with time
    Given 4 own homes, one of which the entry has known for 0.5 s
    When 900 requests choose a home
    Then the new home gets between 0.01 and 0.15 of them
    And it gets between 0.2 and 0.3 of them 10 s later

  # Guards against a home without reports that gets all requests or none.
  Scenario Outline: A home without a report is neither best nor worst
    Given an own home with <waiting> waiting requests and a backlog of <backlog> s
    And an own home without a report
    When 50 requests choose a home
    Then most of them choose the home "<home>"

    Examples:
      | waiting | backlog | home |
      | 0       | 0.0     | h0   |
      | 8       | 1.5     | h1   |

  # Guards against requests that use up their time asking homes that report to be full.
  Scenario: Busy homes that state their backlog
    Given 24 homes that state a backlog of 0.5 s and refuse requests without force
    When a request is served
    Then it was queued after at most 4 busy answers

  # Guards against a part of a weighted split that grows because another has no room.
  Scenario: A target of a weighted split is short of room
    Given a route with weights 70 and 30 whose second target has no room
    When 200 requests arrive
    Then between 0.24 and 0.36 of them are refused and none of those moves

  # Guards against a server that looks idle because it rejects its requests at once.
  Scenario Outline: Homes whose servers reject requests
    Given 12 idle own homes, <shedding> of whose servers reject 0.6 of their requests
    When 300 requests choose a home
    Then the first home gets between <least> and <most> of them

    Examples:
      | shedding | least | most |
      | 1        | 0.0   | 0.02 |
      | 0        | 0.05  | 0.25 |

  # Guards against homes that are avoided for a common cause, which no other home mends.
  Scenario: All servers of a service reject alike
    Given 12 idle own homes, 12 of whose servers reject 0.6 of their requests
    When 300 requests choose a home
    Then each of them chooses as if no server rejected requests

  # Guards against homes of earlier builds that are taken for ones that reject nothing,
  # while they count the rejections as failures.
  Scenario: Some homes of a service whose servers all reject state no rejections
    Given 12 idle own homes, 12 of whose servers reject 0.6 of their requests
    And 6 of them are of an earlier build that states no rejections
    When 300 requests choose a home
    Then each of them chooses as if no server rejected requests

  # Guards against a recovered server that stays unused because nothing reports it.
  Scenario: A server that rejected much more than the others has recovered
    Given 12 idle own homes, 1 of whose servers reject 0.6 of their requests
    When 300 repeatable requests choose a home 4 s later, as the others report again
    Then the first home gets between 0.1 and 0.6 of them
