Feature: Watch leases in the store
  Two nodes of each failure domain watch the store, whatever the size of the fleet.

  Scenario: Two different nodes of a domain hold its two watch leases
    Guards against a failure domain in which only one node watches the store.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    Then both watch leases are held by different nodes
    And at most 3 nodes a lease called the store

  Scenario: A paused holder loses its lease and notices it
    Guards against a paused holder that does not notice that its lease has expired and
    goes on using it.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    And a holder of a watch lease is paused for 60 seconds
    Then the paused holder reported that its lease is gone
    And both watch leases are held by different nodes

  Scenario: Watched changes become deltas and older revisions are reported
    Guards against a store that returns to older revisions, whose changes would
    replace newer ones.
    Given 6 nodes of one domain that compete for watch leases
    When the watch election runs for 120 seconds
    Then a watched change is handed over as a delta
    And a watch that answers an older revision is reported and not handed over
    And a compacted watch asks for a listing

  Scenario: Random faults of store and nodes never give a lease two holders
    Guards against renewals whose answers are lost and stores that answer with old
    data.
    When watch elections run through random faults
    Then no lease had two holders and all were held again at the end
