Feature: Soak of real processes
  Real sidecars, servers and a store run on loopback while processes are killed, stopped
  and paused and what they depend on misbehaves. More seeds run by hand with
  "python -m tools.soak".

  Scenario: A short run of one seed keeps all promises
    When 3 sidecar processes run for 6 seconds under the random faults of seed 1
    Then no promise is broken and requests succeed once the faults are over
