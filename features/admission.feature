Feature: Admission, fairness and long work
  Customer work has priority, no workspace starves others, work that cannot finish by
  its deadline is refused before it runs, and short work never waits behind long work.

  Scenario: Every piece of work ends once and no slot is used twice
    When random work, cancellations, server changes and clock jumps reach a queue
    Then every offer ended once as finished, refused or cancelled
    And no refused or cancelled work was started, and none after its deadline

  Scenario: Workspaces are served in the order of a reference deficit round robin
    When random work of several workspaces is queued and popped
    Then the order equals that of the reference lists
    And workspaces that always wait differ by at most two quanta

  Scenario: Customers go before internal work except for one start in twenty
    Given a queue with 4 slots and 400 waiting customers and 100 internal jobs
    When 200 starts are made with deadlines far away
    Then 10 internal jobs were started

  Scenario: Internal work waits while a customer's deadline is at risk
    Given a queue with 4 slots and 400 waiting customers and 100 internal jobs
    When a customer was refused and 100 starts are made
    Then 0 internal jobs were started

  Scenario: Internal work is not starved without customer load
    Given a queue with 4 slots and 0 waiting customers and 100 internal jobs
    When 100 starts are made with deadlines far away
    Then 100 internal jobs were started

  Scenario: Long work leaves one slot in four free while short work arrives
    Given a queue with 4 slots on each of 3 servers
    When short work has arrived and 30 long jobs are offered
    Then 9 long jobs run, at most 3 on a server, and a short job starts at once

  Scenario: Long work fills idle slots after five seconds without short work
    Given a queue with 4 slots on each of 3 servers
    When short work has arrived and 30 long jobs are offered
    And 6 seconds pass
    Then 12 long jobs run

  Scenario: Long work is not starved while short work fills all slots
    Given a queue with 4 slots on each of 3 servers
    When short work arrives faster than it can be served, with 30 long jobs
    Then at least 3 long jobs run

  Scenario: Work that runs eight times the short mean counts as long
    Given a queue with 4 slots on each of 3 servers
    When a job expected to be short runs for 9 short means
    Then its slot counts as held by long work
    And after three such jobs its route is long before it starts

  Scenario: A wrong expected duration does not disable the protection for good
    Given a queue with 4 slots on each of 3 servers
    When a route that expects 0 s runs 200 jobs of 0.05 s
    Then the route is short and a route of 1 s is long

  Scenario: Work that cannot finish by its deadline is refused at once
    When jobs of 1 workspaces are offered at three times the capacity
    Then all started jobs finish in time and the slots are never idle
    And no admitted job is refused later

  # Fairness lets later work of a workspace with a shorter backlog overtake.
  Scenario: Work that other workspaces overtake is refused rather than started late
    When jobs of 12 workspaces are offered at three times the capacity
    Then all started jobs finish in time and the slots are never idle

  Scenario: A call at the wake-up time of the queue always has an effect
    When a queue of waiting work is only called at its wake-up times
    Then all its work is refused and no wake-up time is repeated

  Scenario: Memory stays bounded
    When 5000 jobs of new routes and workspaces are cancelled or finished
    Then the queue and its policy hold a bounded number of items

  Scenario Outline: Invalid work gets a typed refusal
    Given a queue with 4 slots on each of 3 servers
    When work with <fault> is offered
    Then the offer is refused as "<disposition>" because of "<reason>"

    Examples:
      | fault                | disposition   | reason      |
      | a past deadline      | not-run       | deadline    |
      | an infinite deadline | not-run       | bad-request |
      | a NaN deadline       | not-run       | bad-request |
      | a negative duration  | not-run       | bad-request |
      | a huge duration      | not-run       | deadline    |
      | a duplicate id       | still-running | bad-request |
      | no usable server     | not-run       | no-capacity |

  Scenario: Impossible slot counts are rejected
    Given a queue with 4 slots on each of 3 servers
    Then slot counts of -1, 1000000 and 1.5 are rejected and 0 takes no work
    And a drained server stays drained when it announces other slots
