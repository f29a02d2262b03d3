Feature: Hedges and repeats of requests that are scheduled by cost

  # Guards against a hung server that costs each caller its whole deadline, because one
  # entry of a large fleet seldom has three retries to spare.
  Scenario Outline: Hedges of an entry with few retries
    Given 6 homes that hang, and an entry that may send <retries> retries
    When a safe request is sent to one of them
    Then <hedges> more homes get it

    Examples:
      | retries | hedges |
      | 4.6     | 1      |
      | 2.0     | 1      |
      | 0.9     | 0      |

  # Guards against reserves that spend the retries of failed requests on hedges.
  Scenario Outline: The allowance that a hedge needs
    Then an entry with a limit of <limit> retries hedges only with <reserve> of them left

    Examples:
      | limit | reserve |
      | 30.0  | 3.0     |
      | 4.5   | 1.5     |
      | 1.2   | 1.0     |

  # Guards against a hung request that is not hedged, because the first home that was
  # asked for a slot had none.
  Scenario: A hedge whose home has no free slot
    Given 6 homes that hang, and an entry that may send 30.0 retries
    And 1 home is busy when it is asked for the hedge
    When a safe request is sent to one of them
    Then 1 more homes get it

  # Guards against a hedge that asks without end.
  Scenario: No home has a slot for a hedge
    Given 6 homes that hang, and an entry that may send 30.0 retries
    And 9 home is busy when it is asked for the hedge
    When a safe request is sent to one of them
    Then 0 more homes get it after at most 3 offers

  # Guards against a rejected request that waits for a slot which it may not use.
  Scenario: A rejected request at an entry without retries
    Given 6 homes whose servers reject requests, and an entry that may send 0.9 retries
    When an unsafe request is served
    Then it is refused after 1 offers

  # Guards against repeats that ask all homes in turn when the fleet has no retries left
  # for the calls of their runs.
  Scenario: Homes that start no more repeated runs
    Given 30 homes that refuse repeated runs
    When an unsafe request is served
    Then it is refused after 4 offers
