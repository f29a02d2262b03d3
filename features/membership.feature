Feature: Membership between nodes
  Dispatching, configuration and floor leases rely on which nodes are live.

  Scenario: A killed node is removed by all others
    Guards against a lost home that keeps receiving work.
    Given a model fleet of 10 nodes that know each other
    When node "node-4" of the model fleet is killed for 15 seconds
    Then only "node-4" left the tables of the model fleet

  Scenario: A one-way partition between two healthy nodes removes neither
    Guards against judging a member by one path only.
    Given a model fleet of 10 nodes that know each other
    When datagrams from "node-1" to "node-2" are lost for 300 seconds
    Then nobody left the tables of the model fleet

  Scenario: A node that hears nobody is removed and accuses nobody
    Guards against a deaf node that spreads suspicions of healthy members.
    Given a model fleet of 10 nodes that know each other
    When datagrams to "node-7" are lost for 30 seconds
    Then only "node-7" left the tables of the model fleet
    And every node of the model fleet knows the others again within 60 seconds

  Scenario: A lossy network removes no healthy node
    Guards against suspicions that arrive before their refutation.
    Given a model fleet of 20 nodes that know each other
    When every datagram of the model fleet is lost with 10 percent for 300 seconds
    Then nobody left the tables of the model fleet

  Scenario: A region that vanishes at once is kept and rejoins
    Guards against throwing away a region that is only cut off.
    Given a model fleet of 12 nodes that know each other
    When region "west" of the model fleet is cut off for 120 seconds
    Then region "west" was unreachable and nobody was removed
    And every node of the model fleet knows the others again within 90 seconds

  Scenario: A region that hears but is not heard is kept
    Guards against taking one working direction for a working region.
    Given a model fleet of 12 nodes that know each other
    When datagrams to region "west" of the model fleet are lost for 60 seconds
    Then region "west" was unreachable and nobody was removed
    And every node of the model fleet knows the others again within 90 seconds

  Scenario: A failure domain that is cut off and removed rejoins
    Guards against members that stay removed because nobody looks for them.
    Given a model fleet of 12 nodes that know each other
    When domain "east-0" of the model fleet is cut off for 60 seconds
    Then every node of the model fleet knows the others again within 90 seconds

  Scenario: A restarted process replaces its predecessor
    Guards against leases and links that outlive the process they belong to.
    Given a model fleet of 10 nodes that know each other
    When node "node-3" of the model fleet restarts with no memory
    Then every other node saw the new boot of "node-3" within 10 seconds
    And every node of the model fleet knows the others again within 10 seconds

  Scenario: A paused process notices, refutes and removes nobody
    Guards against leases used after they lapsed unseen.
    Given a model fleet of 10 nodes that know each other
    When node "node-5" of the model fleet is paused for 20 seconds
    Then "node-5" reported its pause and removed nobody
    And every node of the model fleet knows the others again within 30 seconds

  Scenario: A dead member is forgotten and does not come back
    Guards against dead members that nodes teach each other for ever.
    Given a record table in which a member died
    When other nodes repeat its old records for 3 hours
    Then the dead member is forgotten and was never in service again

  Scenario: Two processes with one id are named and the first one stays
    Guards against two processes that overwrite each other's record.
    Given a model fleet of 10 nodes that know each other
    When a second process with the id "node-2" starts in the model fleet
    Then both processes named the duplicate id "node-2" and the second stood down
    And every node of the model fleet knows the first process "node-2"

  Scenario: Two nodes with one address are named
    Guards against work for one node that reaches another.
    Given a record table in which a member died
    When two live members claim one address
    Then the outcome names both members and both are kept

  Scenario: Damaged, forged and foreign datagrams are typed outcomes
    Guards against a hostile datagram that stops a node or changes its table.
    Given encoded membership datagrams of all types
    Then each one reads back under either secret of a rotation
    And each damaged or forged one is rejected with a reason

  Scenario: Replayed datagrams are dropped and counted
    Guards against an attacker who repeats recorded datagrams.
    Given a model fleet of 4 nodes that know each other
    When every datagram of the model fleet is delivered twice for 20 seconds
    Then replays were counted and no update was used twice

  Scenario: A small record table joins a fleet of 600 by parts
    Guards against state exchanges that overrun a datagram or never end.
    Given a record table of 600 members at a seed
    When a new node joins the seed over a network that loses 20 percent
    Then the new node knows all 600 members and no datagram was over 1200 bytes

  Scenario: A leaving node is marked first and removed at once when it goes
    Guards against work sent to a node that is shutting down.
    Given a model fleet of 10 nodes that know each other
    When node "node-6" of the model fleet drains and then leaves
    Then the others saw "node-6" leaving and then removed it within a second

  Scenario: Any node counts the nodes that have a revision
    Guards against "in force on n of n" that counts a node that is behind.
    Given a model fleet of 10 nodes that know each other
    When all nodes of the model fleet but "node-9" apply revision 7
    Then a count by "node-0" counts 9 of 10 nodes at revision 7

  Scenario: Random faults never damage the tables
    Guards against orders of faults that no other scenario has.
    When model fleets run random faults and then recover
    Then every model fleet converged with unique records
