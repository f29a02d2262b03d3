Feature: A service as a whole that is short of room

  The entry judges a service by the reports of its homes, and refuses early what none of
  them can finish in time.

  # Guards against requests that are refused only when most of their timeout has passed,
  # although every home rejected what it got for seconds.
  Scenario: All servers of a service reject requests for 7 s
    Given 12 homes whose servers reject 0.6 of their requests, with a backlog of 9.0 s
    When safe requests arrive for 7 s
    Then at least 0.6 of them are refused within 0.1 s, and none may have run
    And at least one in 12 of them is offered anyway
    And requests are served again within 3 s after the homes have room

  # Guards against urgent and short requests that are refused while less urgent or longer
  # ones are offered.
  Scenario Outline: Requests that cost callers least are refused first
    Given a service short of room whose earliest completion is <done> s
    Then requests of the priorities <refused> are refused

    Examples:
      | done | refused |
      | 1.2  | none    |
      | 1.4  | 2       |
      | 2.0  | 1 2     |
      | 3.0  | 0 1 2   |

  # Guards against a service that is taken for short because a few of its homes are.
  Scenario Outline: The share of short homes decides
    Given a service of 12 homes, <recent> of which reported recently and <short> are short
    Then the service <verdict> short of room

    Examples:
      | recent | short | verdict |
      | 12     | 12    | is      |
      | 12     | 4     | is not  |
      | 2      | 2     | is not  |

  # Guards against a judgement that changes with each report.
  Scenario: A service that was short has room again only when most homes have
    Given a service of 12 homes, 12 of which reported recently and 12 are short
    When 6 of its homes are short
    Then the service is short of room
    When 4 of its homes are short
    Then the service is not short of room

  # Guards against hedges that take the room of first attempts.
  Scenario Outline: Hedges of a service that is short of room
    Given 6 homes that do not answer, whose servers reject <shedding> of their requests
    When a request waits there until its deadline
    Then <hedges> hedges are sent

    Examples:
      | shedding | hedges |
      | 0.0      | 1      |
      | 0.6      | 0      |

  # Guards against a rejected request that spends all its arrivals in a few milliseconds.
  Scenario: A request that servers reject while the service is short
    Given 6 homes whose servers reject all requests and have no backlog
    When a request is served
    Then its offers are at least 0.1 s apart
