Feature: Capacity figures

  Scenario: The capacity page shows the committed measurements
    Then the capacity page equals what its renderer writes from the committed file
    And the capacity page contains every block of figures once

  Scenario: A measurement that changes makes the capacity page stale
    When a committed memory figure grows by 10 MB
    Then the capacity page differs from what its renderer writes
    And the computed control memory is 10 MB higher

  Scenario: A fitted line has the slope, intercept and residual of least squares
    Then random lines with one value off the line are fitted by least squares
