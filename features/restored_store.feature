Feature: A store that comes back from an older copy
  The store may be away for a moment and come back from a copy some seconds old. What
  was written since is gone, its revisions are given out again, and the epoch in its
  answers rises. Calm processes are held to all bounds again 3 seconds after its return.
  Sockets are real, and time is virtual.

  # Guards against a revision that is used on after the history behind it was lost.
  Scenario Outline: A change gets the revision of a change that was lost
    Given <process> that reaches the store but none of its peers, with random seed <seed>
    When the store loses a change, and another one gets the same revision
    Then it has the change within 3 seconds

    Examples:
      | process                      | seed |
      | a watcher                    | 1    |
      | a watcher                    | 2    |
      | a watcher                    | 3    |
      | a process that is no watcher | 1    |
      | a process that is no watcher | 2    |
      | a process that is no watcher | 3    |

  # Guards against records of running processes that stay lost, so that processes that
  # start later do not find them. Entries are to be back about 2 seconds after the return.
  Scenario: Records are lost with the store's newest writes
    Given a store that was copied before 8 processes saved their records
    When it is away for half a second and comes back from that copy
    Then the store has the records of all processes after 2 seconds

  # Guards against an acknowledged departure that a later process on the machine does
  # not find in the store.
  Scenario: An acknowledged departure is lost with the store's newest writes
    Given 8 processes that saved their records, and a copy of the store
    And one that is no watcher then acknowledges and saves a departure
    When it is away for half a second and comes back from that copy
    Then the store has the departure after 2 seconds

  # Guards against a departure that is confirmed although its write failed, and against
  # a write that is not repeated.
  Scenario: The store is away while a server leaves
    Given 8 processes that saved their records, and a copy of the store
    When it is away for 2 seconds, and a server of one that is no watcher leaves
    Then the departure is not confirmed within a second
    And the store has the departure after 2 seconds

  # Guards against the record of a process that has left, which a restore brings back as
  # one of a process that runs.
  Scenario Outline: A process has left since the store was copied
    Given 8 processes that saved their records, and a copy of the store
    And one that is no watcher then leaves, after <departures>
    When it is away for half a second and comes back from that copy
    Then the store has <record> after 2 seconds

    Examples:
      | departures                | record                                 |
      | no departure              | no record of it                        |
      | a departure of its server | its record as left, with the departure |
