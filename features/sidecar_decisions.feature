Feature: Decisions of a sidecar
  Health estimates, home selection, retry budgets and peer records need no network. Each
  scenario checks one rule under the load or fault that it is meant for.

  Scenario: After one failure a healthy server gets no final attempts for a while
    When a working server answers 50 requests in 10 seconds and then fails one
    Then it gets no final attempts
    And after one more failure and a success it still gets none
    And after three successes in all it gets them again

  Scenario: A failure estimate without evidence returns to the long-run share
    When random outcomes are followed by a minute without outcomes
    Then the failure estimate is always a probability and ends at the long-run share

  Scenario: With failure estimates fewer final attempts meet gray failures
    When 12 servers with gray failures a quarter of the time serve a mixed load
    Then final attempts fail less than a third as often as with random choice
    And at least 0.7 of the healthy servers get requests in any two seconds

  Scenario Outline: An offer is granted, queued or refused
    Given a server with failure probability <failing>, <running> of 4 slots in use and <waiting> waiting
    When a <attempt> attempt with <left> s left is offered<forced>
    Then the offer is <verdict>

    Examples: a suspect server gets no final attempts unless forced
      | failing | running | waiting | attempt    | left | forced    | verdict |
      | 0.05    | 1       | 0       | final      | 2    |           | grant   |
      | 0.30    | 1       | 0       | final      | 2    |           | suspect |
      | 0.30    | 1       | 0       | repeatable | 2    |           | grant   |
      | 0.90    | 1       | 0       | repeatable | 2    |           | suspect |
      | 0.90    | 0       | 0       | repeatable | 2    |           | grant   |
      | 0.90    | 0       | 0       | final      | 2    | by force  | grant   |

    Examples: under overload only requests that can be served in time are queued
      | failing | running | waiting | attempt    | left | forced    | verdict |
      | 0.05    | 4       | 0       | final      | 2    |           | busy    |
      | 0.05    | 4       | 0       | final      | 2    | by force  | queue   |
      | 0.05    | 4       | 30      | final      | 1    | by force  | busy    |
      | 0.05    | 3       | 2       | final      | 2    |           | busy    |

  Scenario Outline: A request is queued only if it can meet its latency objective
    Given a server with failure probability 0.05, 4 of 4 slots in use and <waiting> waiting
    When a forced attempt with <objective> s to its objective and 4 s left arrives
    Then the offer is <verdict>

    Examples: 4 requests run at a time, for 0.25 s each
      | waiting | objective | verdict |
      | 3       | 1.0       | queue   |
      | 12      | 1.0       | busy    |
      | 12      | 2.0       | queue   |
      | 3       | -0.2      | busy    |
      | 3       | 0.1       | queue   |

  Scenario: All entries together keep to the fleet's retry budget
    When 7 entries send random requests and retries for a minute
    Then no window of 10 seconds has more retries than the fleet allows

  Scenario: Calls of repeated runs use up the budget of the called service
    Given an entry that may send 3 retries
    When 3 calls of repeated runs are counted
    Then no retry may be sent

  Scenario: The retry delays of refused callers are spread out
    When 1000 callers are refused for each cause
    Then no tenth of the range of retry delays holds more than a fifth of them

  Scenario: The route with the longest matching prefix of a host is chosen
    Given a table with routes "/a/" and "/a/b/" of host "x.example"
    Then host "x.example" and path "/a/b/c" match route "/a/b/"
    And host "x.example" and path "/a/c" match route "/a/"
    And host "x.example" and path "/ab" match no route
    And host "y.example" and path "/a/b/" match no route

  Scenario: Weighted targets get their shares
    When 10000 requests choose between weights 90 and 10
    Then the second target gets between 0.08 and 0.12 of them

  Scenario: Packing and unpacking leaves a routing table unchanged
    When random routing tables are packed and unpacked
    Then each is equal to the original

  Scenario: Peer tables converge whatever the order and repetition of records
    When random records are merged in random orders by several tables
    Then all tables hold the same newest records

  Scenario: A restarted process with an older clock supersedes its former record
    Given a table whose process started at 5000
    When a record of its own start at 9000 arrives
    Then its own record is newer than that

  Scenario: A new process at an address replaces the record of the old one
    Given a table that knows "old" at 10.0.0.7
    When "new" announces itself at 10.0.0.7
    Then the table knows only "new"

  Scenario Outline: Announcements apply in the order of starts and sequence numbers
    Given a server "a" that started at 100 and announced 5
    When "<instance>" started at <started> announces <sequence> as <state>
    Then the home <sends> work to "<current>"

    Examples:
      | instance | started | sequence | state    | sends  | current |
      | a        | 100     | 6        | draining | denies | a       |
      | a        | 100     | 4        | ready    | sends  | a       |
      | a        | 200     | 1        | ready    | sends  | a       |
      | b        | 200     | 1        | ready    | sends  | b       |
      | old      | 50      | 900      | ready    | sends  | a       |

  Scenario: A server whose departure was acknowledged gets no work again
    Given a server "a" that started at 100 and announced 5
    When it departs and a late announcement with sequence 9 arrives
    Then the home denies work to "a"
    And a new start of "a" at 300 gets work

  Scenario: A restarted home honours departures that it learns from peers
    Given a home that learned from peers that "a" started at 100 has left
    When "a" started at 100 announces 6 as ready
    Then the home denies work to "a"

  Scenario: The departures that last are those of the latest servers
    Given a home whose servers "z1" to "z9" and "a1" to "a9" have left one after another
    Then the 8 departures that it publishes are those of "a2" to "a9"

  # Guards against times that are kept for good for a service whose requests are never
  # retried.
  Scenario: A service gets only requests that may run once
    When an entry counts 10 requests a second for an hour without asking for retries
    Then its budget holds at most the times of 10 seconds

  Scenario: Repeated runs keep to the retry budget of the service that they call
    When 12 machines repeat a third of their runs, each of which makes two calls
    Then no window of 10 seconds has more retries at the called service than allowed
    And repeated runs go on while the called service's budget lasts

  Scenario: The entries of a large fleet spread over all homes of a service
    Given a service with 145 homes in 6 failure domains and 232 entries
    When each entry chooses its homes
    Then each home is used by at least 12 entries of at least 4 failure domains
    And no home is used by more than three times as many entries as the average

  Scenario: A home that leaves changes the homes of few entries
    Given a service with 145 homes in 6 failure domains and 232 entries
    When each entry chooses its homes
    And one home leaves
    Then entries that did not use it keep their homes, and the others replace only it
