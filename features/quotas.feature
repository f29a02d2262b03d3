Feature: The rate of a workspace holds over all machines together
  In any 5 seconds at most (rate x 5 + burst) x 1.1 + 20 requests of a workspace reach
  servers, whatever fails; in calm hardly any request within the rate is refused. The
  processes of a fleet run in simulated time over a simulated network.

  # Guards against shares whose sum exceeds the bound for some limits.
  Scenario: The shares of owner and fallback buckets keep to the bound
    Then the shares of random limits in fleets of random sizes keep to the bound

  Scenario: A workspace that keeps to its rate is hardly ever refused
    Given a fleet of 95 processes with 10 small workspaces
    When all workspaces send 1/1.6 of their rates for 60 seconds
    Then at most 0.001 of the requests are refused
    And no window has more requests than its bound

  # Guards against requests that use two tokens because they wait at a busy home.
  Scenario: Requests that wait longer than their tokens are counted once
    Given a fleet of 30 processes with 10 small workspaces
    And all requests wait 0.5 to 2 seconds for a server
    When all workspaces send 1/1.6 of their rates for 40 seconds
    Then at most 0.01 of the requests are refused
    And no window has more requests than its bound

  Scenario: Tokens that are given back are granted once more only
    Then random buckets with tokens given back keep to their rates

  # Guards against a limit per machine, which multiplies the rate by the machines.
  Scenario: A workspace at ten times its rate on all machines gets its rate
    Given a fleet of 95 processes
    When all workspaces send 10 times their rates for 12 seconds
    Then no window has more requests than its bound
    And each workspace gets at least 0.95 of its rate

  # Guards against two owners, and against tokens that survive a failure.
  Scenario: Random failures neither break the bound nor make two owners
    Then in 60 random histories of failures the bound holds with one owner at most

  Scenario Outline: After its owner is lost, a workspace is served again
    Given a fleet of 30 processes
    When all workspaces send 1/1.6 of their rates for 12 seconds
    And all owners are <lost> after 6 seconds
    Then requests are granted again from 7.5 seconds on
    And no window has more requests than its bound

    Examples:
      | lost      |
      | killed    |
      | cut off   |
      | suspended |
      | restarted |

  Scenario: After 55% of the processes are killed the others are served
    Given a fleet of 95 processes
    When all workspaces send 1/1.6 of their rates for 20 seconds
    And 52 processes are killed after 6 seconds
    Then requests are granted again from 8.5 seconds on
    And no window has more requests than its bound

  Scenario: Entries without an owner use no more than the fallback share
    Given a fleet of 95 processes
    When all workspaces send 10 times their rates for 15 seconds
    And each process is alone after 5 seconds
    Then from 6.5 seconds on no window has more than 10 requests

  Scenario: A lower limit holds one window after its change
    Given a fleet of 30 processes
    When all workspaces send 10 times their rates for 20 seconds
    And all limits are halved after 8 seconds
    Then from 13 seconds on the bounds of the new limits hold

  Scenario: A request over the quota gets 429 with the time to return
    Given an entry whose quota denies with 0.75 seconds to wait
    When the request of the workspace is served
    Then the caller gets 429 with Retry-After 0.75
    And no home was asked

  Scenario: A request waits for its token before its first offer
    Given an entry whose quota grants 1 token after 0.1 seconds
    When the request of the workspace is served
    Then the caller gets 200
    And 1 request was sent with a token

  # Guards against repeats that are not counted.
  Scenario: A repeat without a token is not sent
    Given an entry whose quota grants 1 token after 0.0 seconds
    And a server that fails the first request
    When the request of the workspace is served
    Then the caller gets 500
    And 1 request was sent with a token

  # Guards against a request within its quota that is refused, because a home that is
  # leaving refused it after it was sent and its token counted as used.
  Scenario: A home refuses a request that was already sent to it
    Given an entry whose quota grants 1 token after 0.0 seconds
    And a home that refuses the request after it was sent
    When the request of the workspace is served
    Then the caller gets 200
    And 2 requests were sent with a token

  # Guards against a second token for a request that no server got.
  Scenario: A request that its home refuses after the grant keeps its token
    Given an entry whose quota grants 1 token after 0.0 seconds
    And a home that refuses the first request after granting a slot
    When the request of the workspace is served
    Then the caller gets 200

  # Guards against tokens that were counted long before the request arrives.
  Scenario: A request that waited longer than its token is valid needs another one
    Given an entry whose quota grants 1 token after 0.0 seconds
    And a home that queues the request for 0.8 seconds
    When the request of the workspace is served
    Then the caller gets 429 with Retry-After 0.4
    And 0 requests were sent with a token

  Scenario: Requests without a workspace need no token
    Given an entry whose quota denies with 0.75 seconds to wait
    When a request on a public route without a key is served
    Then the caller gets 200

  Scenario: The time limit of a request runs while it waits for its token
    Given an entry whose quota never answers
    When the request of the workspace is served
    Then the caller gets 503 or 504

  # Guards against messages that builds of revision 1 take for malformed.
  Scenario: Processes get tokens over their links, and none from an old build
    Given 3 processes with links, one of them of revision 1
    When each of the others takes 3 tokens
    Then all tokens are granted
    And the old build got no message about quotas

  # Guards against voters that wait for a process whose machine refuses connections.
  Scenario: A killed owner is replaced over real links
    Given 4 processes with links, none of them of revision 1
    When each of them takes 3 tokens
    And the owner and another voter end
    And each of them takes 3 tokens
    Then all tokens are granted

  # Guards against 429 for requests of a workspace that no longer has a limit.
  Scenario: Requests that wait are let go when the limit is removed
    Given 4 processes with links that have just started
    When each waits for 3 tokens and the limit is removed
    Then all tokens are granted

  # Guards against tokens that are kept by requests that do not need them.
  Scenario: A request that finds a token at hand no longer waits for another one
    Given a request that waits for a token
    When it finds a token at hand for its next attempt
    Then it no longer waits

  # Guards against fallback buckets in all processes that are not among the ranked ones.
  Scenario: With a large tolerance the fallback shares keep to the bound
    Then the fallback buckets of 95 processes keep to a tolerance of 100

  # Guards against thousands of messages a second to one process after a fleet's start.
  Scenario: An entry asks less often the longer no process owns a quota
    Given an entry whose workspace has no owner
    When a request waits for 1 second for its token
    Then the entry has asked at most 12 times

  # Guards against waiting in vain because another process was avoided some time ago.
  Scenario: A request does not wait if no process may be asked in time
    Given an entry whose only candidate did not answer, nor another one before
    When a request waits for 0.15 seconds for its token
    Then it is settled at once

  # Guards against asking a stopping process, which answers but owns nothing, to its end.
  Scenario: A stopping owner is replaced while it still runs
    Given 4 processes with links, none of them of revision 1
    When each of them takes 3 tokens
    And the owner begins to stop
    And each of them takes 3 tokens
    Then all tokens are granted

  # Guards against refusing all limited requests of a fleet that has just started, as
  # started processes do not vote for an owner at first.
  Scenario: Requests wait for the first owner after a fleet has started
    Given 4 processes with links that have just started
    When each waits up to 2.5 seconds for 3 tokens as they start
    Then all tokens are granted

  Scenario: Malformed messages about quotas are refused
    Then malformed items of each message about quotas are refused
