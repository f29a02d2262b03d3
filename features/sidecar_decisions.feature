Feature: Decisions of a sidecar
  Judging servers, choosing homes, sharing retries and merging records need no network,
  so each rule is checked here with the load or fault that it answers.

  Scenario: A failure of a server that worked keeps final attempts away
    When a working server answers 50 requests in 10 seconds and then fails one
    Then final attempts are kept from it
    And after one more failure a success does not bring final attempts back
    And three successes do

  Scenario: A failure estimate without evidence returns to the long-run share
    When random outcomes are followed by a minute without any
    Then the failure estimate is always a probability and ends at the long-run share

  Scenario: Gray failures lose fewer final attempts than random choice
    When 12 servers that fail grayly a quarter of the time serve a mixed load
    Then final attempts fail less than a third as often as with random choice
    And at least 0.7 of the working servers get work in any two seconds

  Scenario Outline: An offer is granted, queued or turned down
    Given a server that fails with <failing>, runs <running> of 4 and has <waiting> waiting
    When <work> work with <left> s left is offered<forced>
    Then the offer is <verdict>

    Examples: gray failures keep final attempts away
      | failing | running | waiting | work       | left | forced    | verdict |
      | 0.05    | 1       | 0       | final      | 2    |           | grant   |
      | 0.30    | 1       | 0       | final      | 2    |           | suspect |
      | 0.30    | 1       | 0       | repeatable | 2    |           | grant   |
      | 0.90    | 1       | 0       | repeatable | 2    |           | suspect |
      | 0.90    | 0       | 0       | repeatable | 2    |           | grant   |
      | 0.90    | 0       | 0       | final      | 2    | by force  | grant   |

    Examples: overload queues only what can be served in time
      | failing | running | waiting | work       | left | forced    | verdict |
      | 0.05    | 4       | 0       | final      | 2    |           | busy    |
      | 0.05    | 4       | 0       | final      | 2    | by force  | queue   |
      | 0.05    | 4       | 30      | final      | 1    | by force  | busy    |
      | 0.05    | 3       | 2       | final      | 2    |           | busy    |

  Scenario Outline: A queue under overload is joined only within the latency objective
    Given a server that fails with 0.05, runs 4 of 4 and has <waiting> waiting
    When forced work with <objective> s to its objective and 4 s left is offered
    Then the offer is <verdict>

    Examples: each round of 4 takes 0.25 s
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

  Scenario: Refused callers come back spread over time
    When 1000 callers are refused for each cause
    Then no tenth of the time of return holds more than a fifth of them

  Scenario: The longest prefix of a host finds the route
    Given a table with routes "/a/" and "/a/b/" of host "x.example"
    Then "x.example" "/a/b/c" goes to "/a/b/"
    And "x.example" "/a/c" goes to "/a/"
    And "x.example" "/ab" goes nowhere
    And "y.example" "/a/b/" goes nowhere

  Scenario: Weighted targets get their shares
    When 10000 requests choose between weights 90 and 10
    Then the second target gets between 0.08 and 0.12 of them

  Scenario: A table survives its way between nodes
    When random routing tables are packed and unpacked
    Then each is equal to the original

  Scenario: Records of peers converge whatever is lost or repeated
    When random records are merged in random orders by several tables
    Then all tables hold the same newest records

  Scenario: A restarted process with an older clock overrules its former record
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

  Scenario: A restarted home remembers departures that peers hand back
    Given a home that learned from peers that "a" started at 100 has left
    When "a" started at 100 announces 6 as ready
    Then the home denies work to "a"

  Scenario: Repeats of a service that calls another keep to the budget of the called one
    When 12 machines repeat a third of their runs, each of which makes two calls
    Then no window of 10 seconds has more repeats at the called service than allowed
    And repeats go on while the called service's budget lasts
