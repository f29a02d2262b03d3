Feature: Announcements and the directory of homes
  A malformed announcement changes nothing, and all nodes end with the same table of
  homes, whatever the order in which updates arrive.

  Scenario Outline: A malformed announcement is refused by its field
    When a server announces <field> as <value>
    Then the announcement is refused for "<named>" and no server is known

    Examples:
      | field          | value             | named          |
      | body           | {                 | body           |
      | body           | []                | body           |
      | body           | nested            | body           |
      | body           | "\ud800           | body           |
      | instance       | ""                | instance       |
      | instance       | "\ud800"          | instance       |
      | instance       | long              | instance       |
      | boot           | 7                 | boot           |
      | failure_domain | null              | failure_domain |
      | labels         | []                | labels         |
      | labels         | {"a": 1}          | labels         |
      | slots          | -1                | slots          |
      | slots          | 0                 | slots          |
      | slots          | 1e9               | slots          |
      | slots          | 100000000000      | slots          |
      | slots          | true              | slots          |
      | slots          | "4"               | slots          |
      | address        | "localhost:80"    | address        |
      | address        | "127.0.0.1:0"     | address        |
      | address        | "127.0.0.1:99999" | address        |
      | address        | "127.0.0.1:²"     | address        |
      | address        | "::1"             | address        |

  Scenario Outline: An impossible load or warmth is ignored
    When a server announces <field> as <value>
    Then the server is known with 4 slots, none in use and full warmth

    Examples:
      | field  | value         |
      | in_use | -5            |
      | in_use | 1000000000000 |
      | in_use | "all"         |
      | warm   | -1            |
      | warm   | NaN           |
      | warm   | "hot"         |

  Scenario: A server is redirected to its new home and removed from the former one
    Given an announced server
    When another node becomes its rendezvous home and the server renews
    Then it is redirected to that node and not known here
    And a final announcement is accepted nevertheless

  Scenario: A server that stops renewing is removed after 3 seconds
    Given an announced server
    Then it is known 2.9 seconds after its announcement and gone after 3.5

  Scenario: A server with a new boot id starts with all slots free
    Given an announced server
    When it announces another boot id while 2 slots are in use
    Then the server of the new boot has no slot in use

  Scenario: A draining server has no usable slots and can return to service
    Given an announced server
    When it announces a drain
    Then it has 0 usable slots and is not in service for floor leases
    When it announces the end of the drain
    Then it has 4 usable slots and is in service for floor leases

  Scenario: Directory updates in any order and number give the same table
    Then 300 random update sequences give the homes of the newest updates

  Scenario: A removed home is listed again after it is restored
    Given a directory with 2 homes of a service
    When one home is removed and its last update arrives again
    Then only the other home is listed
    When the removed home is restored
    Then both homes are listed
