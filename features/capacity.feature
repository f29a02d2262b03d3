Feature: Capacity figures

  Scenario: The capacity page shows the committed measurements
    Then the capacity page is what its renderer writes from the committed file
    And the capacity page holds every block of figures once

  Scenario: A measurement that changes makes the capacity page stale
    When a committed memory figure grows by 10 MB
    Then the capacity page differs from what its renderer writes
    And the worked-out control memory is 10 MB higher

  Scenario: A fitted line gives back its slope, intercept and residual
    Then random lines with one value moved are fitted as least squares demands
