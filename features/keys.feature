Feature: A keyed request runs at most once
  An approval that runs twice is billed twice. A run after the answer "not run" is
  as bad, because by then the caller has used another way to get the work done.

  Scenario: Keepers under random faults run each key at most once
    Then 150 random keeper histories run each key at most once

  Scenario: A forged or altered key is refused
    Then a key with any altered field is refused and two secrets hold in rotation

  Scenario: A replica answers from its records for the keeper
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request runs and ends with status 201
    Then the replica replays status 201 and has no outcome of other keys
    And the same key with another keyed request is refused as not run

  Scenario: A large answer is recorded as done without its body
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request ends with an answer of 20000 bytes
    Then the key replays its status without a body

  Scenario: A request without a confirmed replica is refused in bounded time
    Given a keeper "a" with a replica "c" and one issued key
    When the replica never confirms the keyed request
    Then the keyed request is refused as not run and a delayed copy never runs

  Scenario: An expired key is refused as not run only if it was never accepted
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request ends without an outcome and a day passes
    Then the accepted key is unknown, an unused one not run, and both unknown later

  Scenario: The keys of a day fit into the memory limit
    Then 233000 recorded keys take at most 8 megabytes

  Scenario: A caller-chosen key runs once despite outages and lost answers
    Then 300 random histories of chosen keys run each key at most once

  Scenario: A sealed keeper transfers its right to run requests once
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request runs while the keeper is sealed for the successor "d"
    Then the successor says that the keyed request is still running
    And a restarted successor and a repeated handover get no right to run
    And the successor replays the answer once the sealed keeper reports it
    And a lost sealed keeper makes the running keyed request unknown

  Scenario: A deadline between the loss of a keeper and the next attempt leaves the outcome unknown
    Given a keyed request whose keeper was lost after it was sent
    When its deadline comes before the next attempt
    Then it is not refused as not run

  # Guards against "not run" for a request that a lost keeper may have run.
  Scenario: A replica refuses a keyed request after its keeper was lost
    Given a keyed request whose keeper was lost after it was sent
    When the replica refuses it as not run
    Then it is not refused as not run
