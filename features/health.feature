Feature: Failure detection from real work
  A partly failing server must be detected within seconds, and a cause that all
  servers share must not eject any of them.

  Scenario: The sequential tests keep their stated false-alarm rate
    When false alarms are counted exactly at the default baselines
    Then both stay below 2e-9 for each piece of work

  Scenario: Half of the work failing makes a server an outlier
    Given 16 healthy peers and a server that fails every second request
    When the suspect is judged after at most 20 requests
    Then health finds an outlier by failures

  Scenario: Work stuck in every slot counts as evidence before it ends
    Given a server with 4 requests in progress expected to take 110 ms
    When 360 ms pass without an answer
    Then the server is suspected by latency
    And a paused home finds no evidence in the same work

  Scenario: A cause that all servers share ejects none of them
    Then random failure and slowness rates that all servers share make no outlier

  Scenario: Invalid clock readings and latencies raise no exception
    Then random outcomes with jumping clocks give valid assessments

  Scenario: Adding observations in aggregate equals adding them one by one
    Then random observations give the same score in aggregate and one by one

  Scenario: A server that keeps failing is ejected for longer each time
    Given a readmission that fails its trickle 10 times
    Then the waits double from 2 s to 300 s
    And 10 minutes of good service reset the wait to 2 s

  Scenario: A broken path moves the home and ejects no server
    Then a live server that cannot be connected to gets another home
    And a server that acknowledges nothing is suspended until it announces
    And a silent server is removed

  Scenario: A failure of the whole service ejects servers only in the naive version
    When the naive and the product dispatch run the same service-wide failure
    Then the naive health dispatch breaks the floor and the product ejects none
