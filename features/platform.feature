Feature: The platform's names, formats and calls
  What comes from the platform is decoded once; what cannot be read names no server and
  spoils nothing else.

  Scenario: The settings file of the platform becomes the sidecar's settings
    Given a settings file of the platform
    When it is loaded
    Then the sidecar knows its addresses, its service and the retry budget

  Scenario Outline: A settings file that lacks something is an error that says so
    Given a settings file of the platform without "<line>"
    When it is loaded
    Then loading fails and names "<field>"

    Examples:
      | line        | field       |
      | node-name   | node-name   |
      | application | application |
      | outbound    | outbound    |

  Scenario: Unknown settings are ignored
    Given a settings file of the platform with an unknown field
    When it is loaded
    Then the sidecar knows its addresses, its service and the retry budget

  Scenario: A configuration becomes a routing table
    Given the operator's configuration
    When it is decoded
    Then the table has its version, routes, split and limits

  Scenario: Spoiled configurations are errors and never exceptions
    Given the operator's configuration
    When single values of it are replaced at random
    Then each result is a table or an error

  Scenario: A heartbeat becomes an announcement
    When a heartbeat of instance "i-7f" arrives
    Then it announces "i-7f" of "huvo11a" at 10.128.0.9:8080 with 4 slots

  Scenario: Spoiled heartbeats name no server
    When heartbeats with single values replaced at random arrive
    Then each is an announcement with every field valid or an error

  Scenario: A deregistration names the server that leaves
    When a deregistration of instance "i-7f" arrives
    Then it is a departure of "i-7f"

  Scenario: Headers of the caller's connection are dropped and our own are set
    When a caller's request is written for a server
    Then the server gets each header that concerns the request
    And the calling service, expected instance and time left are ours

  Scenario Outline: The head of a server's answer tells whether the request ran
    When a server answers <status> with "<header>"
    Then the request <ran>

    Examples:
      | status | header          | ran              |
      | 503    | Not-Executed: 1 | did not run      |
      | 429    | Not-Executed: 1 | did not run      |
      | 421    | Instance-Id: x  | did not run      |
      | 503    | Server-Seal: s  | may have run     |
      | 500    | Server-Seal: s  | may have run     |
      | 429    | Server-Seal: s  | may have run     |

  Scenario: An answer to another request is recognised
    When a server answers 200 with "Request-Id: other"
    Then the answer belongs to another request
