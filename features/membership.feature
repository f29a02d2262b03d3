Feature: Membership between nodes
  Dispatching, configuration and floor leases depend on knowing which nodes are live.

  Scenario: A killed node is removed by all others
    Guards against work that is still sent to a home that has failed.
    Given a model fleet of 10 nodes that know each other
    When node "node-4" of the model fleet is killed for 15 seconds
    Then only "node-4" left the tables of the model fleet

  Scenario: A one-way partition between two healthy nodes removes neither
    Guards against removing a member because a single path to it is broken.
    Given a model fleet of 10 nodes that know each other
    When datagrams from "node-1" to "node-2" are lost for 300 seconds
    Then nobody left the tables of the model fleet

  Scenario: A node that receives nothing is removed and spreads no suspicion
    Guards against a node that receives nothing and spreads suspicions of healthy members.
    Given a model fleet of 10 nodes that know each other
    When datagrams to "node-7" are lost for 30 seconds
    Then only "node-7" left the tables of the model fleet
    And every node of the model fleet knows the others again within 60 seconds

  Scenario: A lossy network removes no healthy node
    Guards against removing a suspect because its refutation arrives too late.
    Given a model fleet of 20 nodes that know each other
    When every datagram of the model fleet is lost with 10 percent for 300 seconds
    Then nobody left the tables of the model fleet

  Scenario: A region that is cut off as a whole is kept and rejoins
    Guards against removing all members of a region that is only unreachable.
    Given a model fleet of 12 nodes that know each other
    When region "west" of the model fleet is cut off for 120 seconds
    Then region "west" was unreachable and nobody was removed
    And every node of the model fleet knows the others again within 90 seconds

  Scenario: A region that can send but not receive is kept
    Guards against taking datagrams from a region as proof that it can be reached.
    Given a model fleet of 12 nodes that know each other
    When datagrams to region "west" of the model fleet are lost for 60 seconds
    Then region "west" was unreachable and nobody was removed
    And every node of the model fleet knows the others again within 90 seconds

  Scenario: A failure domain that is cut off and removed rejoins
    Guards against removed members that stay removed because no node probes them.
    Given a model fleet of 12 nodes that know each other
    When domain "east-0" of the model fleet is cut off for 60 seconds
    Then every node of the model fleet knows the others again within 90 seconds

  Scenario: A restarted process replaces its predecessor
    Guards against leases and links that stay in use after their process has ended.
    Given a model fleet of 10 nodes that know each other
    When node "node-3" of the model fleet restarts with no memory
    Then every other node saw the new boot of "node-3" within 10 seconds
    And every node of the model fleet knows the others again within 10 seconds

  Scenario: A paused process notices the pause, refutes and removes nobody
    Guards against leases that are used although they expired during a pause.
    Given a model fleet of 10 nodes that know each other
    When node "node-5" of the model fleet is paused for 20 seconds
    Then "node-5" reported its pause and removed nobody
    And every node of the model fleet knows the others again within 30 seconds

  Scenario: A dead member is forgotten and does not return
    Guards against dead members whose records nodes keep sending to each other forever.
    Given a record table in which a member died
    When other nodes repeat its old records for 3 hours
    Then the dead member is forgotten and was never in service again

  Scenario: Two processes with the same id are reported and the first one stays
    Guards against two processes that overwrite each other's record.
    Given a model fleet of 10 nodes that know each other
    When a second process with the id "node-2" starts in the model fleet
    Then both processes reported the duplicate id "node-2" and the second stood down
    And every node of the model fleet knows the first process "node-2"

  Scenario: Two nodes with the same address are reported
    Guards against work that reaches a different node than intended.
    Given a record table in which a member died
    When two live members claim one address
    Then the outcome names both members and both are kept

  Scenario: Damaged, forged and foreign datagrams are rejected with a reason
    Guards against a hostile datagram that stops a node or changes its table.
    Given encoded membership datagrams of all types
    Then each one decodes with either secret of a rotation
    And each damaged or forged one is rejected with a reason

  Scenario: Replayed datagrams are dropped and counted
    Guards against an attacker who repeats recorded datagrams.
    Given a model fleet of 4 nodes that know each other
    When every datagram of the model fleet is delivered twice for 20 seconds
    Then replays were counted and no update was used twice

  Scenario: A new node receives a fleet of 600 in several parts
    Guards against state exchanges that exceed a datagram or never end.
    Given a record table of 600 members at a seed
    When a new node joins the seed over a network that loses 20 percent
    Then the new node knows all 600 members and no datagram was over 1200 bytes

  Scenario: A leaving node is marked first and removed at once when it leaves
    Guards against work sent to a node that is shutting down.
    Given a model fleet of 10 nodes that know each other
    When node "node-6" of the model fleet drains and then leaves
    Then the others saw "node-6" leaving and then removed it within a second

  Scenario: Any node can count the nodes that have applied a revision
    Guards against a report of "in force on n of n" that includes a node that is behind.
    Given a model fleet of 10 nodes that know each other
    When all nodes of the model fleet but "node-9" apply revision 7
    Then a count by "node-0" counts 9 of 10 nodes at revision 7

  Scenario: Random faults never damage the tables
    Guards against combinations of faults that no other scenario covers.
    When model fleets run random faults and then recover
    Then every model fleet converged with unique records
