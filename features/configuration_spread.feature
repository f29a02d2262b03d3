Feature: A confirmed configuration is in force in time wherever a process runs on
  Callers must be served by a new configuration within a bound after the store has
  confirmed it, 2 seconds in the strictest deployment; half of that is for reading the
  store, and half for spreading the change. Any process may vanish without notice.
  Gossip runs on loopback sockets in virtual time, and the store is scripted.

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
