Feature: A confirmed configuration is in force in time wherever a process runs on
  Callers must be served by a new configuration within a bound after the store has
  confirmed it, 2 seconds in the strictest deployment; half of that is for reading the
  store, and half for spreading the change. Any process may vanish without notice.
  Gossip runs on loopback sockets in virtual time, and the store is scripted.

  # Guards against a reading of the store that is taken over too late for the bound.
  Scenario Outline: All watchers vanish just before the configuration changes
    Given 40 processes that follow the store, with the random seed <seed>
    When all watchers vanish just after a reading, and the configuration changes at once
    Then another process has the change within 1 second, and all within 2 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a process without peers that waits for their reading of the store.
  Scenario Outline: A process that reaches the store is cut off from its peers
    Given 40 processes that follow the store, with the random seed <seed>
    When one that is no watcher loses its peers and the configuration changes 3 s later
    Then that process has the change within 2 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against gossip that is sent to processes that no longer exist.
  Scenario Outline: Most processes vanish before the configuration changes
    Given 90 processes that follow the store, with the random seed <seed>
    When 63 of them vanish, but no watcher, and the configuration changes 2000 ms later
    Then every other process has the change within 1 second

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a fleet that presses an unavailable store once it looks unwatched.
  Scenario Outline: A store that is unavailable to all is called rarely
    Given 90 processes that follow the store, with the random seed <seed>
    When the store is unavailable for 8 seconds
    Then a process calls it once to notice that, and once in each further 2 of the 8 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
