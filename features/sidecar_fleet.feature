Feature: Sidecars among themselves
  Each process learns of the others, of the configuration and of its own past, whatever
  is away; gossip runs here on loopback sockets and the store is a script.

  Scenario: A restarted process learns from a peer what the former one acknowledged
    Given a peer that knows a departure that the former process acknowledged
    When the process starts again and finds that peer
    Then it recalls the departure and its own record replaces the former one

  Scenario: A newcomer that knows one peer learns of all
    Given 6 processes that know only the first of them
    When they gossip for 5 seconds
    Then all hold the same records

  Scenario: News reaches everyone though a third of the datagrams is lost
    Given 6 processes that know one another and lose a third of the datagrams
    When one of them publishes that its server left and they gossip for 5 seconds
    Then all hold the same records

  Scenario: Few processes watch, and the others ask when the watchers are cut off
    Given 20 processes of which only the four watchers read the store
    When the watchers lose the store for 10 seconds
    Then others read it meanwhile, and a calm second has 8 calls at most

  Scenario: A history that is gone is replaced by a fresh reading
    Given a store that has forgotten its history
    When a watcher waits for changes
    Then it reads the present configuration and goes on from there

  Scenario: A store that comes back is used again and its calls are few meanwhile
    Given a store that is away for 20 seconds
    When a watcher keeps trying
    Then it makes 40 calls at most and knows the configuration 3 seconds later

  Scenario: The own record of a former process is read before it is overwritten
    Given a store that holds the record of the former process
    When the process starts
    Then it lists the records before it writes its own

  Scenario: Processes that start at the same moment find one another by the store
    Given 8 processes that start within 2 milliseconds and share a store
    When they gossip for 3 seconds
    Then all hold the same records

  Scenario: Two groups that never heard of each other are joined by the watchers
    Given 2 groups of 4 processes that each know only their own group
    When they gossip for 15 seconds
    Then all hold the same records

  Scenario: A fleet that starts together keeps to its bytes for control
    Given 30 processes that start within 2 milliseconds and share a store
    When they gossip for 3 seconds
    Then all hold the same records
    And no process has sent more than 17 KB a second
