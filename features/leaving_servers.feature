Feature: A server that names its leaving in an answer gets no more work
  A server that leaves says so in all its answers, and its announcements may not have
  arrived. Servers are scripted, on loopback sockets in virtual time.

  # Guards against work for a server whose only notice of leaving is in its answers.
  Scenario: After an answer that names the leaving, offers are refused
    Given a home whose server names its leaving in its second answer
    When an entry sends two requests one after the other
    Then further offers are refused, and the second answer is passed on

  Scenario: A request that was granted before is refused as not run
    Given a home whose server names its leaving in its second answer
    When an entry gets a grant, and another request is answered with the leaving
    Then the granted request is refused when it arrives, and has not reached the server

  Scenario: Waiting requests are refused when the server names its leaving
    Given a home whose server names its leaving in its first answer
    When 6 requests are offered by force while the server works on them
    Then those that waited are refused

  # Guards against a restart of the home that forgets the leaving.
  Scenario: The departure is spread and saved before the answer is passed on
    Given a home whose server names its leaving in its first answer
    When an entry sends a request
    Then the departure was reported before the answer was passed on

  Scenario Outline: Only a later start of the server gets work again
    Given a home whose server names its leaving in its first answer
    When an entry sends a request
    And the server announces itself as ready with <announced>
    Then an offer is <result>

    Examples:
      | announced             | result  |
      | the same start        | refused |
      | a later start         | granted |

  Scenario Outline: An answer that another process may have sent stops no work
    Given a home whose server answers with "<head>" and names a leaving
    When an entry sends a request
    Then an offer is <result>

    Examples:
      | head                                               | result  |
      | HTTP/1.1 421 X;Instance-Id: other                  | not for lack of a server |
      | HTTP/1.1 200 X;Request-Id: r1                      | granted |
      | HTTP/1.1 200 X;Server-Seal: s;Request-Id: r1       | refused |
      | HTTP/1.1 503 X;Not-Executed: 1                     | refused |
