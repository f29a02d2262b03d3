Feature: Quarantine of requests that crash servers
  One request that is sent repeatedly must not take a service down, and requests that
  run beside it must not be refused.

  Scenario: Reports in any order and number give the same state on every node
    When crash ledgers get random reports and clearances shuffled and repeated
    Then every ledger agrees with the reference sets of reports

  Scenario: A request is refused after two servers crashed, for ten minutes
    Given crash reports of request "P" from servers "s1, s2"
    Then request "P" is quarantined after 0 and 599 seconds
    And request "P" is not quarantined after 601 seconds
    And stale copies of its reports extend nothing, even after a clock jump back

  Scenario: Two crashes of the same server do not quarantine a request
    Given crash reports of request "P" from servers "s1, s1"
    Then request "P" is not quarantined after 0 seconds

  Scenario: A request that did not cause the crashes is cleared by its completion
    Given crash reports of request "P" from servers "s1, s2"
    And request "B" in flight in the first 2 crashes
    Then request "P" is not quarantined after 0 seconds
    When request "B" completes elsewhere
    Then request "P" is quarantined after 0 and 599 seconds
    And request "B" is not quarantined after 0 seconds

  Scenario: Two requests that cannot be told apart are refused after a third crash
    Given crash reports of request "P" from servers "s1, s2, s3"
    And request "B" in flight in the first 3 crashes
    Then request "P" is quarantined after 0 and 599 seconds

  Scenario: A request is not refused when another one explains all its crashes
    Given crash reports of request "P" from servers "s1, s2, s3, s4"
    And request "B" in flight in the first 3 crashes
    Then request "P" is quarantined after 0 and 599 seconds
    And request "B" is not quarantined after 0 seconds

  Scenario: A flood of crash reports does not grow the ledger without bound
    When a crash ledger of 100 reports gets 1000 reports
    Then the ledger remembers at most 100 reports

  Scenario: Only copies of one request share a fingerprint
    When fingerprints of random requests are computed
    Then they are equal exactly when the requests are copies
