Feature: The store client reports the true outcome of each call
  The store may lose answers, slow down or be unavailable. A wrong report about a
  write would let an operator or a keeper act on a state that does not exist.

  Scenario: The store stand-in agrees with a plain dictionary
    Then 60 random histories of store calls match a plain dictionary

  Scenario: A write's result is correct under loss, delay and other writers
    Then 400 random store writes end with a result that stays true

  Scenario: A removal's result is correct under loss, delay and other writers
    Then 200 random store removals end with a result that stays true

  Scenario: An outage of an hour causes few calls and its end is noticed quickly
    Given a store client in virtual time
    When the store is away for 3600 seconds while the client reads every second
    Then the client made fewer than 250 store calls in the outage
    And the client reads from the store again within 35 seconds

  Scenario: A slow store gets one call at a time
    Given a store client in virtual time
    When every store answer takes 1500 milliseconds and 20 reads are asked for
    Then the store client has at most 8 calls in flight at first and 1 later

  Scenario: Identical reads share a call, but never one from before a write
    Given a store client in virtual time
    When 50 identical store reads are asked for around a write
    Then the store answered 2 reads and the later readers see the write

  Scenario: A store that shows an older revision is reported
    Given a store client in virtual time
    When the store shows an object as it was before its last write
    Then the read ends with the error "reverted" and is reported

  Scenario: The node's call budget bounds its calls
    Given a store client in virtual time
    When 500 different store reads are asked for within 100 seconds
    Then the store counted at most 71 calls
    And a prepaid store write does not wait for the budget
    And a store client with a raised budget lists 2500 objects by pages

  Scenario: A lease has one holder under pauses, drift and lost answers
    Then 60 random lease histories have at most one holder and growing tokens
    And a contender never overlaps with a holder that is cut off from the store

  Scenario: The blocking client works with the store process over a socket
    Given a store process
    Then the blocking client writes, reads, conflicts and survives a lost answer

  Scenario: The event loop client works with the store process over a socket
    Given a store process
    When the loop client writes with a lost answer, reads and watches on a socket
    Then its watch shows the write and a silent store ends as away
