Feature: Gossip and store synchronisation of sidecars
  Each process learns of its peers, of the configuration and of what an earlier process
  on its machine did, also when peers or the store are unavailable. Gossip runs on
  loopback sockets, and the store is scripted.

  Scenario: A restarted process gets the departures of the previous one from a peer
    Given a peer that knows a departure that the previous process acknowledged
    When the process restarts and finds that peer
    Then it restores the departure and its record replaces the previous one

  Scenario: A new process that knows one peer learns of all peers
    Given 6 processes that know only the first of them
    When they gossip for 5 seconds
    Then all have the same records

  Scenario: A changed record reaches all although a third of the datagrams is lost
    Given 6 processes that know one another and lose a third of the datagrams
    When one of them publishes that its server left and they gossip for 5 seconds
    Then all have the same records

  Scenario: A changed record crosses between failure domains in few copies
    Guards against each process sending it to other domains in every round, which took
    more bytes there than the requests.

    Given 24 processes in 4 failure domains that know one another
    When one of them publishes that its server left and they gossip for 5 seconds
    Then all have the same records
    And at most 60 copies of the record went to other failure domains

  Scenario: Few processes watch the store, and others read it when the watchers cannot
    Given 20 processes of which only the four watchers read the store
    When the watchers lose the store for 10 seconds
    Then others read it meanwhile, and an undisturbed second has at most 8 calls

  Scenario: The configuration is read again when the store has dropped its history
    Given a store that has dropped its history
    When a watcher waits for changes
    Then it reads the current configuration and watches from there

  Scenario: A store that recovers is used again, and is called rarely during the outage
    Given a store that is unavailable for 20 seconds
    When a watcher keeps trying
    Then it makes at most 40 calls and has the configuration 3 seconds after recovery

  Scenario: The record of a previous process is read before it is overwritten
    Given a store that holds the record of the previous process
    When the process starts
    Then it lists the records before it writes its own

  Scenario: Processes that start at the same time find one another through the store
    Given 8 processes that start within 2 milliseconds and share a store
    When they gossip for 3 seconds
    Then all have the same records

  Scenario: The watchers join two groups that do not know of each other
    Given 2 groups of 4 processes that each know only their own group
    When they gossip for 15 seconds
    Then all have the same records

  Scenario: A fleet that starts together stays within its budget of control traffic
    Given 30 processes that start within 2 milliseconds and share a store
    When they gossip for 3 seconds
    Then all have the same records
    And no process has sent more than 17 KB a second
