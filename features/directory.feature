Feature: The directory of homes

  Scenario: Any order of updates, losses and returns gives the same homes as a model
    Then random directory updates, losses and returns match a plain dictionary

  Scenario: An update with an impossible count is refused and changes nothing
    Given a directory that knows home "a"
    Then an update of home "a" with -1 slots is refused and the old one kept
