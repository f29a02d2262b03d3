Feature: Judging servers by real work
  A gray server must be found within seconds, and no common cause may eject one.

  Scenario: The failure test keeps its stated false-alarm rate
    When false alarms are counted exactly at the default baselines
    Then both stay below 2e-9 for each piece of work

  Scenario: Half of the work failing makes a server an outlier
    Given 16 healthy peers and a server whose every second request fails
    When the suspect is judged after at most 20 requests
    Then health finds an outlier by failures

  Scenario: Work stuck in every slot is evidence before it ends
    Given a server with 4 requests in progress expected to take 110 ms
    When 360 ms pass without an answer
    Then the server is suspected by latency
    And a paused home finds no evidence in the same work

  Scenario: A cause that all servers share ejects none
    Then random common failure and slowness rates make no outlier

  Scenario: Unusable clocks and latencies raise nothing
    Then random outcomes with jumping clocks give typed assessments

  Scenario: Counting the run in aggregate equals counting one by one
    Then random runs give the same score in aggregate and one by one

  Scenario: A server that keeps failing comes back more slowly each time
    Given a readmission that fails its trickle 10 times
    Then the waits double from 2 s to 300 s
    And 10 minutes of good service make the wait 2 s again

  Scenario: A broken path moves the home and ejects nothing
    Then a live server that cannot be connected to gets another home
    And a server that acknowledges nothing is suspended until it announces
    And a silent server is removed

  Scenario: A failure of the whole service ejects servers only in the plain version
    When the same service-wide failure meets naive and product dispatch
    Then the naive health dispatch breaks the floor and the product ejects none
