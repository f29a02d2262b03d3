Feature: Watch leases in the store
  Two nodes of each failure domain watch the store, whatever the size of the fleet.

  Scenario: Two different nodes of a domain hold its two watch leases
    Guards against a domain without a second watcher.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    Then both watch leases are held by different nodes
    And at most 3 nodes a lease called the store

  Scenario: A paused holder loses its lease and notices it
    Guards against a lease that is used after it lapsed unseen.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    And a holder of a watch lease is paused for 60 seconds
    Then the paused holder reported that its lease is gone
    And both watch leases are held by different nodes

  Scenario: Watched changes become deltas and old revisions are named
    Guards against a store that went back to older revisions.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    Then a watched change is handed over as a delta
    And a watch that answers an older revision is reported and not handed over
    And a compacted watch asks for a listing

  Scenario: Random faults of store and nodes never give a lease two holders
    Guards against renewals whose answers are lost and stores that answer old data.
    When watch elections run through random faults
    Then no lease had two holders and all were held again at the end
