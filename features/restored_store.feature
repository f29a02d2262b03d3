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
