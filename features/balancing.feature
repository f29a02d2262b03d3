Feature: Choosing homes and servers
  Wrong load data or a wrong choice would overload one server or starve another.

  Scenario: Invalid and stale load is reported as a problem and never used
    Then random load reports give a load or a named problem
    And a home whose load is 2 s old counts as one without load

  Scenario: The local failure domain is preferred while it has capacity
    Given 3 homes in the caller's domain and 3 elsewhere
    Then a local home is chosen while local homes have free slots
    And a remote home is chosen once local homes have queues

  Scenario: A home without known load is not starved
    Then a home of unknown load gets work beside 3 homes that are 3/4 in use

  Scenario: Slot counts stay exact under random starts, ends and limits
    Then random slot use keeps every server within its limit

  Scenario: The choice by slots agrees with a reference search
    Then random servers give a choice that the reference search allows

  Scenario: A draining server gets no new work
    Given a balanced server that drains
    Then it is never chosen and work sent 3.1 s later breaks "drained"

  Scenario: A cold server gets its slots gradually
    Given a cold balanced server with 4 slots
    Then it takes 1 request at once, 2 after 5 s and 4 after 10 s

  Scenario: Shedding pauses a server without counting against it
    Given a cold balanced server with 4 slots
    When the balanced server sheds work
    Then it gets no work for 50 ms and work after that

  Scenario: A readmitted server gets a small share of idempotent work
    Given 9 balanced servers in service and one in trickle
    Then it gets between 0.5% and 2% of 4000 idempotent requests and no other

  Scenario: Idempotent work goes to a server in doubt first
    Given a balanced server in doubt beside an idle one
    Then idempotent work goes to the server in doubt and other work does not
