Feature: Configuration on every node
  An accepted change is in force on every node within seconds, and no object ever goes
  back to an older revision.

  Scenario: Deltas in any order give the same objects as a dictionary
    Guards against lost, duplicate or reverted objects when deltas overlap.
    When random deltas reach a configuration log late, twice and out of order
    Then the packed tables always equal a dictionary at the same revision

  Scenario: Packed lookups equal a linear scan
    Guards against an index that misses a route or prefers a less specific one.
    When random routes are changed and looked up
    Then each lookup found what a linear scan finds

  Scenario: Changes inside a shard do not lose records
    Guards against a compaction that drops or swaps records.
    When 3000 workspaces are written and rewritten in the packed tables
    Then every workspace holds its last write and the replaced bytes are bounded

  Scenario: An older object never replaces a newer one
    Guards against an old configuration that comes into force again.
    Given a configuration log at revision 10 with the service "orders"
    Then a delta to revision 9 is reported as already applied
    And a delta from revision 11 is reported as a gap
    And a covering delta leaves the newer "orders" in place
    And a deleted object does not return with a late delta after its tombstone
    And a store at revision 3 is reported as regressed
    And the tables refuse an older object as a broken invariant

  Scenario: Malformed deltas and snapshot chunks are reported as outcomes
    Guards against a peer whose messages corrupt the tables.
    Given a configuration log at revision 10 with the service "orders"
    Then malformed deltas and chunks are rejected and change nothing

  Scenario: A snapshot replaces tables that are too old for deltas
    Guards against keeping objects that were deleted while a node was away.
    When a node that was away loads a snapshot in parts while its peer changes
    Then both hold the same objects after the remaining deltas

  Scenario: A listing of the store replaces the tables
    Guards against deletions missed when the store compacted its history.
    When a configuration log loads pages of a store that deleted objects
    Then the packed tables equal the store after the listing

  Scenario: Gossip brings every node to the last revision
    Guards against nodes that stay behind after message loss, pauses and restarts.
    When configuration gossip runs over networks with random faults
    Then every gossip node ended at the last revision without a reverted object
