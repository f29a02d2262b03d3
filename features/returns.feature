Feature: Return of refused callers

  Retry-After follows from the room that is expected, so that those who return fit.

  # Guards against callers that were refused together and return together.
  Scenario: Refused callers return and fit
    Given a service that answers 8 requests a second and has room in 1.0 s
    When 9 callers with 10 s left are refused at once
    Then none returns before 0.8 s
    And at most 6 of them return in any second

  # Guards against callers that return when their deadline has passed, or at once.
  Scenario: Bounds of the time to return
    Given a service that answers 1 requests a second and has room in 30.0 s
    When callers with 0.05 to 10 s left are refused
    Then each returns after at least 0.1 s and at most a third of the time it has left

  # Guards against less urgent callers that take the room before urgent ones.
  Scenario: Urgent callers return earlier
    Given a service that answers 4 requests a second and has room in 0.2 s
    When 20 callers of both urgencies with 10 s left are refused in turn
    Then urgent ones return earlier on average

  # Guards against a caller that returns with less time and is refused early, where one
  # that comes for the first time is offered.
  Scenario: A caller that returns is treated like one that comes for the first time
    Given a service short of room whose earliest completion is 5.5 s
    Then a request with a timeout of 40 s that has 12 s left is offered like a new one

  # Guards against a change of Retry-After for configurations that do not schedule by
  # cost.
  Scenario Outline: Retry-After by the way of scheduling
    Given 12 homes that state a backlog of 6 s and refuse every offer, scheduled by <way>
    When a request is refused
    Then its Retry-After is between <least> and <most> s

    Examples:
      | way  | least | most |
      | load | 0.25  | 0.75 |
      | cost | 3.0   | 6.66 |
