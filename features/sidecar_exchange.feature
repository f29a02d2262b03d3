Feature: Exchanges of an entry with homes
  A request that may run only once must not be sent twice unless a home states that it
  has not run, and a refused request must not have run. The homes are scripted.

  Scenario Outline: An unsafe request is sent again only when it has not run
    Given homes that react to unsafe requests with "<first>" and "<second>"
    When the request is served
    Then the caller gets <status> and <sent> homes got the request

    Examples:
      | first              | second    | status | sent |
      | grant 200          | grant 200 | 200    | 1    |
      | grant 500          | grant 200 | 500    | 1    |
      | grant unknown      | grant 200 | 502    | 1    |
      | grant restarted    | grant 200 | 502    | 1    |
      | grant not-run      | grant 200 | 200    | 2    |
      | grant lost         | grant 200 | 200    | 2    |
      | busy               | grant 200 | 200    | 1    |
      | silent             | grant 200 | 200    | 1    |
      | server-down        | grant 200 | 200    | 1    |

  Scenario Outline: A repeatable request is sent again after a failure
    Given homes that react to safe requests with "<first>" and "<second>"
    When the request is served
    Then the caller gets <status> and <sent> homes got the request

    Examples:
      | first           | second        | status | sent |
      | grant 500       | grant 200     | 200    | 2    |
      | grant unknown   | grant 200     | 200    | 2    |
      | grant restarted | grant 200     | 200    | 2    |
      | grant 500       | grant 500     | 500    | 2    |
      | grant unknown   | grant unknown | 502    | 2    |
      | grant 500       | busy          | 500    | 1    |
      | grant 404       | grant 200     | 404    | 1    |

  Scenario: A route with one attempt never uses a second server
    Given homes that react to safe requests in one attempt with "grant 500"
    When the request is served
    Then the caller gets 500 and 1 homes got the request

  Scenario: Without retries left the server's failure is passed on unchanged
    Given homes that react to safe requests without retries with "grant 500"
    When the request is served
    Then the caller gets 500 and 1 homes got the request
    And the answer carries the server's signature header

  Scenario: A request that no home takes is refused at once with a retry delay
    Given homes that react to unsafe requests with "busy busy" and "busy busy"
    When the request is served
    Then the caller gets 503 and 0 homes got the request
    And the answer gives a retry delay
    And less than half a second has passed

  Scenario Outline: The outcome of a refusal tells busy homes from homes without a server
    Given homes that react to unsafe requests with "<first>" and "<second>"
    When the request is served
    Then the caller gets 503 and 0 homes got the request
    And its outcome is counted as "<outcome>"

    Examples:
      | first                 | second                | outcome |
      | server-down           | no-server             | no-home |
      | no-server             | server-down           | no-home |
      | busy busy             | no-server             | busy    |
      | server-down           | suspect busy          | busy    |

  Scenario: A request that is never answered ends at its deadline
    Given homes that react to unsafe requests with "grant hang" and "grant hang"
    When the request is served
    Then the caller gets 504 and 1 homes got the request

  Scenario: A repeatable request does not wait for a hung server
    Given homes that react to safe requests with "grant hang" and "grant 200"
    When the request is served
    Then the caller gets 200 and 2 homes got the request
    And less than one second has passed

  Scenario: A caller that leaves cancels its request
    Given homes that react to unsafe requests with "grant hang" and "grant hang"
    When the caller leaves while its request runs
    Then the home is told to cancel it

  Scenario: Whatever homes do, an unsafe request runs at most once
    When unsafe requests meet homes with random reactions
    Then each gets one answer in time, ran at most once, and not at all if refused

  Scenario: A large service that is busy everywhere is not asked home by home
    Given 145 homes that refuse unsafe requests as "busy"
    When the request is served
    Then the caller gets 503 and 0 homes got the request
    And at most 20 offers were made
    And less than half a second has passed

  Scenario: An entry uses a few of the homes of a large service
    Given 145 homes that react to safe requests with "grant 200"
    When 300 safe requests are served
    Then at most 24 homes got a request, at least half of them in other failure domains

  Scenario: An entry asks further homes when its usual ones cannot be reached
    Given 145 homes that react to unsafe requests with "grant 200"
    And all homes that the entry uses have lost their links
    When the request is served
    Then the caller gets 200 and 1 homes got the request

  Scenario: A request without a host is malformed, not unknown
    Given homes that react to safe requests with "grant 200" and "grant 200"
    When the request is served without a host
    Then the caller gets 400 and 0 homes got the request
