Feature: A home serves first what costs callers most to be refused
  Homes in virtual time with a simulated server of 4 slots; requests are offered by force,
  so that they may wait.

  # Guards against a less urgent kind that takes slots which a more urgent one needs.
  Scenario: Urgent and less urgent work compete for one service
    Given a home with the work outage-map 0.2 s and diagram-pull 0.4 s
    When 16 outage-map a second of priority 0 and 8 diagram-pull a second of priority 2 arrive for 10 s
    Then at least 0.98 of outage-map are on time
    And at least 0.05 of diagram-pull are on time
    And less urgent work gets a slot before waiting urgent work in 1 of 20 starts

  # Guards against urgent demand that keeps a less urgent kind out for good.
  Scenario: Urgent work that takes all slots leaves others their floor
    Given a home with the work outage-map 0.2 s and diagram-pull 0.2 s
    When 40 outage-map a second of priority 0 and 8 diagram-pull a second of priority 2 arrive for 10 s
    Then from 0.03 to 0.07 of the starts are diagram-pull

  # Guards against refusals near the deadline of what had no chance from the start.
  Scenario: What cannot be in time is refused soon and truly
    Given a home with the work outage-map 0.2 s and diagram-pull 0.4 s
    When 12 outage-map a second of priority 0 and 8 diagram-pull a second of priority 2 arrive for 10 s
    Then the refused have at least 0.3 of their time left, on average 0.65
    And no refused request has run, though some have waited
    And refusals of priority 2 are counted as displaced

  # Guards against requests that wait until their deadline behind work that hangs.
  Scenario: A request behind work that takes far longer than expected is refused
    Given a home with the work outage-map 30.0 s
    When requests that were expected to take 0.4 s take all slots
    And a request of outage-map that was expected to take 0.4 s waits
    And 4.0 s pass
    Then the refused have at least 0.3 of their time left, on average 0.3

  # Guards against long work that holds the queue when short urgent work comes.
  Scenario: A burst of long work comes before short urgent work
    Given a home with the work diagram-pull 0.8 s and outage-map 0.1 s
    When a burst of 40 diagram-pull of priority 2 arrives
    And 0.1 s pass
    And 12 outage-map a second of priority 0 and 0 diagram-pull a second of priority 2 arrive for 3 s
    Then at least 0.9 of outage-map are on time

  # Guards against refusing many short requests for the sake of few long ones.
  Scenario: Among requests of one priority the longest work gives way
    Given a home with the work long 0.8 s and short 0.3 s
    And its work is known
    When requests that were expected to take 0.8 s take all slots
    And a long and then 12 short of one priority arrive
    Then the long is refused and all short are granted

  # Guards against one workspace whose requests crowd out all others.
  Scenario: One workspace floods
    Given a home with the work payment-post 0.4 s
    When workspace big sends 40 a second and 4 small ones send 1 a second each for 10 s
    Then 0.95 or more of the small ones' requests are on time
    And big gets at least 0.5 of the starts

  # Guards against work of a running request that is lost because a call waits.
  Scenario: A call of a running request goes before new work
    Given a home with the work lookup 0.4 s and verify 0.1 s
    When requests that were expected to take 0.4 s take all slots
    And 4 lookup and then 1 internal verify of one priority arrive
    Then the second is granted first and the first is answered, too

  # Guards against late requests that make others late.
  Scenario: A request that can be on time goes before one that can only be late
    Given a home with the work lookup 0.4 s
    When requests that were expected to take 0.4 s take all slots
    And a request past its objective and then one within it arrive
    Then the second is granted first and the first is answered, too

  # Guards against a change of behaviour where scheduling by cost is off.
  Scenario: Offers without a route are handled as before
    Given a home with the work "" 0.2 s
    When requests that were expected to take 0.2 s take all slots
    Then its report has the defaults of the optional fields

  # Guards against more requests than slots, expired waiting ones and double outcomes.
  Scenario: Random sequences keep the limits
    When random offers of random routes, priorities and deadlines arrive
    Then no more run than the slots, none waits past its deadline and urgent ones go first
