Feature: Explanation of where a request would go

  # Guards against an explanation that differs from what the next request meets.
  Scenario: The explained home is the one that gets the next request
    Given an entry with 6 homes that has served requests, scheduled by cost
    Then for 10 requests in turn the explained home gets the offer

  # Guards against explanations that use up random numbers, places of the floor, times of
  # return or retries, or create links and views.
  Scenario Outline: An explanation changes nothing
    Given an entry with <homes> homes that has served requests, scheduled by <way>
    And its homes are <room> of room
    When a request is explained 25 times
    Then the state of the entry is unchanged
    And each explanation says "<outcome>"

    Examples:
      | homes | way  | room  | outcome |
      | 6     | load | full  | offered |
      | 6     | cost | full  | offered |
      | 6     | cost | short | no-room |
      | 30    | cost | short | no-room |

  # Guards against explanations that create views, subsets or judgements of a service
  # before its first request.
  Scenario: An explanation before the first request changes nothing
    Given an entry with 30 homes that has served no requests
    When a request is explained 3 times
    Then the state of the entry is unchanged
    And each explanation says "offered"

  # Guards against a refusal that is explained with another Retry-After than callers get.
  Scenario: An early refusal is explained with its Retry-After
    Given an entry with 6 homes that has served requests, scheduled by cost
    And its homes are short of room
    When a request is explained 1 times
    And the next request is refused
    Then the explanation states the same Retry-After

  # Guards against keys in parameters or answers.
  Scenario: Keys are neither taken nor shown
    Given an entry whose workspace "clinic" has the key "secret"
    Then the explanation for workspace "clinic" says "offered" and holds no digest
    And the explanation without a workspace says "key-unknown"
    And a parameter "key" is answered 400 without its value

  # Guards against a command that misreads the answer of a process.
  Scenario: The command prints the answer of a process
    Given a process on the loopback that explains a request
    When an operator runs where for it
    Then the table marks the chosen home
    And with --json the answer is printed as it came
