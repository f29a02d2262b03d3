Feature: Labeled objects and manifests
  Operators write objects by hand, so an error must name the wrong key. A manifest
  that was written must have the same meaning when it is read again.

  Scenario: A manifest reads back to the same objects
    Given 200 random sets of objects
    Then each set is equal after it was written as a manifest and read
    And each object is equal after it was written as a spec and read

  Scenario: Malformed text is reported and never raises an exception
    Then random manifest text gives objects or errors that name the file

  Scenario Outline: An error in a manifest names its place, the value and what is expected
    When the manifest "<text>" is read
    Then the only manifest error has section "<section>" and key "<key>"
    And it shows "<seen>" and expects "<expected>"

    Examples:
      | text                                                            | section   | key         | seen           | expected                |
      | [service a] / selector = app=a / flor = 70%                     | service a | flor        | flor           | 'floor'                 |
      | [service a] / selector = app=a / floor = 170%                   | service a | floor       | 170%           | from 0% to 100%         |
      | [service a] / selector = app==a                                 | service a | selector    | app==a         | a label value           |
      | [service a] / floor = 70%                                       | service a | selector    | no value       | required                |
      | [service a] / selector = app=a / [service  a] / selector = b=c  | service  a |            | a second time  | each name once          |
      | [service a] / selector = app=a / selector = b=c                 | service a | selector    | a second value | each key once           |
      | [route r] / target = service=a / class = custmer                | route r   | class       | custmer        | 'customer'              |
      | [route r] / target = service=a / methods = GET, GTE             | route r   | methods     | GET, GTE       | instead of 'GTE'        |
      | [route r] / target = service=a / path = /a/                     | route r   | path        | /a/            | without a slash         |
      | [route r] / target = service=a / deadline_ms = 10               | route r   | expected_ms | 50             | at most the deadline_ms |
      | [rote r] / target = service=a                                   | rote r    |             | rote           | 'route'                 |
      | [workspace a b]                                                 | workspace a b |         | a b            | a name of               |
      | selector = app=a                                                |           |             | line 1         | a section header        |

  Scenario Outline: Conflicts between objects are found
    When the manifest "<text>" is checked as a whole
    Then there is one finding, "<severity>" of "<section>", that says "<words>"

    Examples:
      | text                                                                                                                                    | severity | section   | words                  |
      | [service a] / selector = app=a / [route r] / target = service=b                                                                         | error    | route r   | picks a service        |
      | [service a] / selector = x / label.t = 1 / [service b] / selector = y / label.t = 1 / [route r] / target = t=1                          | warning  | route r   | a is used out of a, b  |
      | [service a] / selector = x / [route r] / target = service=a / path = /p / [route s] / target = service=a / path = /p                    | error    | route s   | takes all of its       |
      | [service a] / selector = x / [route r] / target = service=a / methods = GET, POST / [route s] / target = service=a / methods = POST, PUT | warning  | route s   | takes some of its      |
      | [service a] / selector = x / floor = 100%                                                                                               | warning  | service a | lets no server be      |

  Scenario: Routes that share a path and differ otherwise are accepted
    When the manifest "[service a] / selector = x / [route r] / target = service=a / methods = GET / [route s] / target = service=a / [route t] / target = service=a / callers = tier=partner" is checked as a whole
    Then there is no finding

  Scenario: An object created by code with a floor above 100% is refused
    Then a service built in code with a floor of 1.2 has the error "from 0% to 100%"
    And checking that service beside others gives the error "at most 100%"
