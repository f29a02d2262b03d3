Feature: The operators' command line
  Concurrent changes, lost answers and an unavailable store must never leave an
  operator with a wrong idea of what is in force.

  Scenario: The examples are valid and each bad example has one error
    Then checking "examples/faltwerk" and "examples/raksa" exits with 0
    And each file in "features/bad_examples" gives one error line and exit code 2

  Scenario: Applying manifests twice changes nothing the second time
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "diff DIR/fleet.ini" with exit code 1
    And "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "anna" runs "apply DIR/fleet.ini" with exit code 0
    Then the last output has "0 changes made"
    And "anna" running "diff DIR/fleet.ini" exits with 0 and prints ""
    And every object of the store has a history and an audit entry

  Scenario: A dry run and a refused manifest change nothing
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply --dry-run DIR/fleet.ini" with exit code 0
    And "anna" runs "apply DIR/no-service.ini" with exit code 2
    Then the store is at revision 0

  Scenario: Pruning deletes no objects of kinds that the manifests do not contain
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "anna" runs "apply --prune DIR/slower.ini" with exit code 0
    Then the store holds "service orders, route order-status, workspace clinic-7, workspace stockroom"

  Scenario: A conflict names who changed what and when
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "farid" runs "apply DIR/slower.ini" while "anna" is about to write a "route"
    And "anna" runs "apply DIR/faster.ini" with exit code 3
    Then the last error has "changed by farid at 2026-12-04T"
    And the last error has "-deadline_ms = 2000; +deadline_ms = 9000"
    And the last error has "0 of 1 changes were made"
    And the stored "route" "order-status" has "deadline_ms" "9000"

  Scenario Outline: A conflict with a deletion names who deleted the object
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "farid" runs "<first>" while "anna" is about to write a "route"
    And "anna" runs "<second>" with exit code 3
    Then the last error has "deleted by farid at 2026-12-04T"

    Examples:
      | first                     | second                    |
      | delete route order-status | delete route order-status |
      | delete route order-status | apply DIR/slower.ini      |

  Scenario: Operators who write history entries at the same time keep both entries
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "farid" runs "apply DIR/slower.ini" while "anna" is about to write a "history"
    And "anna" runs "apply DIR/faster.ini" with exit code 3
    Then the last history of "route" "order-status" has "anna"
    And the last history of "route" "order-status" has "not confirmed"
    And every object of the store has a history and an audit entry

  Scenario: A history keeps entries that it cannot parse and stays within its limits
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the history of "route" "order-status" gets an entry of a newer version
    And the objects "DIR/slower.ini" and "DIR/faster.ini" are applied 60 times in turn
    Then the history of "route" "order-status" has 100 confirmed entries
    When "anna" runs "rollback route order-status" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "9000"

  Scenario: An edit of an older revision is refused
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "farid" runs "apply DIR/slower.ini" with exit code 0
    And "anna" runs "apply --base 15 DIR/faster.ini" with exit code 3
    Then the last error has "changed by farid"
    And the last error has "(-deadline_ms = 2000; +deadline_ms = 9000)"
    And the stored "route" "order-status" has "deadline_ms" "9000"

  Scenario: If the store is unavailable, nothing is changed and the error says so
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store is unavailable
    And "anna" runs "apply DIR/slower.ini" with exit code 4
    Then the last error has "nothing was changed"
    And the stored "route" "order-status" has "deadline_ms" "2000"

  Scenario: If the store fails between the records and the write, nothing is changed
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store is unavailable for writes of "route"
    And "anna" runs "apply DIR/slower.ini" with exit code 4
    Then the last error has "nothing was changed"
    And the last history of "route" "order-status" has "not confirmed"

  Scenario: A change that cannot be recorded is not made
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store is unavailable for writes of "history"
    And "anna" runs "apply DIR/slower.ini" with exit code 4
    Then the stored "route" "order-status" has "deadline_ms" "2000"

  Scenario: A write whose answer is lost is made once
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store loses the answers of the next 1 writes of "route"
    And "anna" runs "apply DIR/slower.ini" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "9000"
    And the history of "route" "order-status" has 2 confirmed entries

  Scenario: A deletion whose answer is lost is made, also if others write afterwards
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store loses the answers of the next 1 writes of "route"
    And "anna" runs "delete route order-status" with exit code 0
    And "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the answer to a write of "route" is lost, then "farid" runs "apply DIR/fleet.ini"
    And "anna" runs "delete route order-status" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "2000"

  Scenario: A write whose answer is lost was made if another write replaced it
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the answer to a write of "route" is lost, then "farid" runs "apply DIR/faster.ini"
    And "anna" runs "apply DIR/slower.ini" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "1000"
    And the history of "route" "order-status" has 3 confirmed entries

  Scenario: A write that never gets an answer has an unknown outcome
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store loses the answer to a write of "route" and is unavailable afterwards
    And "anna" runs "apply DIR/slower.ini" with exit code 5
    Then the last error has "outcome of route order-status unknown"

  Scenario: A rollback writes a new revision with the older content
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "farid" runs "apply DIR/slower.ini" with exit code 0
    And "anna" runs "rollback route order-status" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "2000"
    And the history of "route" "order-status" has 3 confirmed entries
    When "anna" runs "delete route order-status" with exit code 0
    And "anna" runs "rollback route order-status --to 999" with exit code 2
    And "anna" runs "rollback route order-status" with exit code 0
    Then the stored "route" "order-status" has "deadline_ms" "2000"
    When "anna" runs "audit --who farid --since 1h" with exit code 0
    Then the last output has "farid  update route order-status  done at revision"
    And the last output has "deadline_ms = 2000  deadline_ms = 9000"
    And the last output lacks "anna"
    When "anna" runs "audit --since 2026-12-04T05:00:00Z --kind service" with exit code 0
    Then the last output has "create service orders"
    And the last output lacks "route"

  Scenario: A service that a route needs is not deleted
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "anna" runs "delete service orders" with exit code 2
    Then the last error has "a selector that picks a service"

  Scenario: Objects are shown by label and can be applied again
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "anna" runs "get workspace -l tier=partner" with exit code 0
    Then the last output has "clinic-7"
    And the last output lacks "stockroom"
    When "anna" runs "get all -o ini" with exit code 0
    Then the last output is a manifest equal to "DIR/fleet.ini"

  Scenario: Watching prints an object again only after a change
    Given an empty store and the operators "anna" and "farid"
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And "anna" watches "get route order-status --watch" for 3 rounds while "farid" runs "apply DIR/slower.ini"
    Then the watch printed the values "2000, 9000" of deadline_ms

  Scenario: Random changes by two operators under faults are recorded correctly
    Then 60 random runs of changes, lost answers and outages agree with the store

  Scenario: Waiting ends when every node has the revision
    Given an empty store and the operators "anna" and "farid"
    And nodes that apply a revision after 3 polls
    When "anna" runs "apply --wait DIR/fleet.ini" with exit code 0
    Then the last error has "in force on 1 of 3"
    And the last error has "in force on 3 of 3"
    Given nodes that stay at the revision of the last change
    When "anna" runs "apply --wait DIR/fleet.ini" with exit code 0
    Given nodes that apply a revision after 9999 polls
    When "anna" runs "apply --wait --timeout 2 DIR/slower.ini" with exit code 1
    Then the last error has "the changes are accepted"
    And the last error has "missing on node-2 (alive), node-3 (alive)"

  Scenario: The status and drain commands call a node over HTTP
    Given a node's operator address that knows the instance "orders-1"
    When the operator of that node runs "status" with exit code 0
    Then the last output has "in force on 2 of 3 nodes"
    And the last output has "orders-2 (failures)"
    When the operator of that node runs "drain orders-1" with exit code 0
    Then the last output has "orders-1 is draining (home node-1)"
    When the operator of that node runs "undrain orders-9" with exit code 1
    Then the last error has "no node confirmed the change"

  Scenario: Changes reach the store over HTTP
    Given a store process that the operator "anna" uses
    When "anna" runs "apply DIR/fleet.ini" with exit code 0
    And the store process loses the answers of the next 2 writes
    And "anna" runs "apply DIR/slower.ini" with exit code 0
    And "anna" runs "get route -o json" with exit code 0
    Then the last output has "9000"

  Scenario: Colors are used only on terminals and without NO_COLOR
    Then an error on a terminal is colored
    And an error on a pipe or with NO_COLOR is not

  Scenario Outline: Explanations come from the schema
    When "anna" runs "explain <topic>" with exit code <code>
    Then the last text has "<words>"

    Examples:
      | topic                       | code | words               |
      | route                       | 0    | expected_ms         |
      | route.label                 | 0    | label.team = stock  |
      | settings/limits.max_streams | 2    | 'max_streams_per    |
      | rote                        | 2    | 'route'             |

  Scenario: Links between the pages of the documentation name existing files
    Then every relative link of the documentation names a file

  Scenario: Reference pages match the schemas
    Then the pages about objects and settings are current
    And the page about the command line names every command
