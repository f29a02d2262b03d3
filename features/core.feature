Feature: Clocks, rendezvous hashing and invariants
  All other packages rely on these functions.

  Scenario: A virtual clock never runs backwards
    Given a virtual clock at 10 seconds
    When the clock is advanced to 4 seconds
    Then the clock reads 10 seconds

  Scenario: Rendezvous hashing moves only the keys of a lost owner
    Given 20 owners and 500 keys
    When one owner is lost
    Then only its keys have a new owner

  Scenario: The error for a violated invariant shows its name and the state
    When the invariant "slots" is checked with 5 slots in use of 4
    Then the violation names "slots" and "in_use=5"

  Scenario: Deadlines pass while the machine is suspended
    Given a timer that is due in 2 seconds
    When the machine is suspended for 5 seconds, which its steady clock does not count
    Then the timer is due
