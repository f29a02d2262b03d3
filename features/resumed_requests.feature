Feature: A home says that it never received a request only if it can know
  "Never received" lets an entry send an unsafe request to another home. After its link
  broke, an entry may ask for an outcome as long as the request's deadline allows.

  # Guards against an unsafe request that runs twice because its home forgot its outcome
  # while the entry or the home was suspended.
  Scenario Outline: An entry asks for the outcome of an unsafe request that ran
    Given a home whose server answered an unsafe request with 10 s left
    When the link breaks and the entry asks for the outcome <after> s later
    Then the entry is told that <told>

    Examples:
      | after | told                   |
      | 0.3   | the answer is "ok"     |
      | 7     | the answer is "ok"     |
      | 9.5   | the answer is "ok"     |
      | 11    | the outcome is unknown |
      | 60    | the outcome is unknown |

  # Guards against a run without an answer that is taken for a request that never arrived.
  Scenario: An entry asks for a request that its home cancelled at its deadline
    Given a home whose server got an unsafe request with 2 s left and never answers
    When the link breaks and the entry asks for the outcome 5 s later
    Then the entry is told that the outcome is unknown

  # Guards against an unsafe request that runs twice because its home dropped its record
  # together with a streamed answer, and the entry's link broke once more.
  Scenario Outline: The link breaks again and again while an answer is streamed
    Given a home whose server streams the answer to an unsafe request with 10 s left
    When the link breaks 3 times, <apart> s apart, and the entry asks after each
    Then the entry is told each time that the outcome is unknown
    And the server has run 1 request, which is cancelled

    Examples:
      | apart |
      | 0.05  |
      | 1     |
      | 12    |

  # Guards against any other order of events after which a request that ran is taken for
  # one that never arrived.
  Scenario: Links break at random while requests run
    Then in 150 random orders of events no request that ran is "never received"

  # Guards against "unknown" for a request that never arrived, which callers cannot repeat.
  Scenario: An entry asks for a request that was lost with its link
    Given a home whose server answered an unsafe request with 10 s left
    When the link breaks after the next grant and the entry asks for that request
    Then the entry is told that the request was never received

  # Guards against a request that runs although its entry was told that it never would.
  Scenario: The request arrives on the old link after its entry asked on the new one
    Given a home whose server answered an unsafe request with 10 s left
    When the link breaks after the next grant and the entry asks for that request
    And the request arrives on the old link
    Then the server has run 1 request

  # Guards against outcomes that use up the memory when deadlines are long.
  Scenario: Large outcomes with long deadlines are forgotten, oldest first
    Given a home whose server answered 24 unsafe requests with 1000000 bytes and 60 s left
    When the link breaks and the entry asks for all outcomes
    Then at most 16777216 bytes of outcomes are kept
    And the entry is told the answers of the latest and that the others are unknown

  # Guards against forgotten outcomes that take memory until the garbage is collected, and
  # against many that are kept between two looks at the limit.
  Scenario: Many large outcomes are kept within a moment
    When a home keeps 60 outcomes of 1000000 bytes within a moment
    Then at most 20000000 bytes are allocated at any time for them
    And the account counts as many outcomes as are kept

  # Guards against a dropped record of an entry that makes its requests look as if they
  # had never arrived.
  Scenario: More entries were granted slots than the home remembers
    Given a history of runs with requests of 5000 entries that were forgotten
    Then every one of these requests may have run
    And a request that is newer than the forgotten one of its entry has not run
    And every one of them may have run after later grants to all entries
