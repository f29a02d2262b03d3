Feature: What an entry tells homes about a request

  Homes order waiting requests by their work, and put calls of running requests first.

  # Guards against estimates that depend on which servers happened to answer: a home would
  # take the work of a route that slow servers answered for longer work.
  Scenario: The work of a route is estimated for a server of usual pace
    When a route answers in 0.6 s at pace 2 and in 0.3 s at pace 1, in turn
    Then its work is estimated at 0.30 s

  # Guards against bytes in offers of configurations that do not ask for the new fields.
  Scenario Outline: Offers have the new fields only where requests are scheduled by cost
    Given a route that is <public> in a configuration that schedules by <way>
    When 3 requests are answered one after another
    Then the last offer <states> its route, its work and that it is <origin>

    Examples:
      | public | way  | states      | origin       |
      | public | cost | states      | a call       |
      | keyed  | cost | states      | no call      |
      | public | load | leaves out  | no call      |
