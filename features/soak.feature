Feature: Soak of real processes
  Real sidecars, servers and a store run on loopback while processes are killed, stopped
  and paused and what they depend on misbehaves. More seeds run by hand with
  "python -m tools.soak".

  Scenario: A short run of one seed keeps all promises
    When 3 sidecar processes run for 6 seconds under the random faults of seed 1
    Then no promise is broken and requests succeed once the faults are over

  Scenario Outline: The proxy of the soak does to a link what its mode says
    Given a link through the proxy of the soak in the mode "<mode>"
    When the entry sends a request
    Then the home gets it <arrival>

    Examples:
      | mode        | arrival                |
      | passing     | at once                |
      | delayed     | after the delay        |
      | reset       | never, and sees an end |
      | cut-towards | never                  |
      | silent      | never                  |
      | cut-back    | at once                |

  Scenario: A link that lost bytes is not used again
    Given a link through the proxy of the soak in the mode "silent"
    When the entry sends a request
    And the fault ends
    Then the entry sees the end of the link
