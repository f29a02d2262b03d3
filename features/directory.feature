Feature: The directory of homes

  Scenario: Any order of updates, losses and returns leaves what a plain table holds
    Then random directory updates, losses and returns match a plain dictionary

  Scenario: A row with impossible counts is refused before anything changes
    Given a directory that knows home "a"
    Then an update of home "a" with -1 slots is refused and the old one stays
