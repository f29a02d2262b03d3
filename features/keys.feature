Feature: A keyed request runs at most once
  A second run of an approval is billed twice; a run after "not run" is as bad,
  because the caller has taken another way by then.

  Scenario: Random histories of keepers agree with a single set of keys that ran
    Then 150 random keeper histories run each key at most once

  Scenario: A forged or altered key is refused
    Then a key with any altered field is refused and two secrets hold in rotation

  Scenario: Records survive the keeper at its replica
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request runs and ends with status 201
    Then the replica replays status 201 and knows nothing of other keys
    And the same key with another keyed request is refused as not run

  Scenario: A large answer is recorded as done without its body
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request ends with an answer of 20000 bytes
    Then the key replays its status without a body

  Scenario: A request without a confirmed replica is refused in bounded time
    Given a keeper "a" with a replica "c" and one issued key
    When the replica never confirms the keyed request
    Then the keyed request is refused as not run and a delayed copy never runs

  Scenario: Expired keys are told apart by whether they were accepted
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request ends without an outcome and a day passes
    Then the accepted key is unknown, a fresh one not run, and both unknown later

  Scenario: A day of keys stays within its memory
    Then 233000 recorded keys take at most 8 megabytes

  Scenario: A caller-chosen key runs once through outages and lost answers
    Then 300 random histories of chosen keys run each key at most once

  Scenario: A sealed keeper passes its right to run on once
    Given a keeper "a" with a replica "c" and one issued key
    When the keyed request runs while the keeper is sealed for the successor "d"
    Then the successor says that the keyed request is still running
    And a restarted successor and a repeated handover get no right to run
    And the successor replays the answer once the sealed keeper reports it
    And a lost sealed keeper makes the running keyed request unknown
