Feature: Decoding of the platform's settings, configuration, calls and headers
  Input from the platform is decoded in one place. Malformed input yields an error,
  announces no server and does not affect other input.

  Scenario: The platform's settings file is decoded into the sidecar's settings
    Given a settings file of the platform
    When it is loaded
    Then the sidecar knows its addresses, its service and the retry budget

  Scenario Outline: A missing setting is an error that names the setting
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

  Scenario: A configuration is decoded into a routing table
    Given the operator's configuration
    When it is decoded
    Then the table has its version, routes, split and limits

  Scenario: A malformed configuration yields an error and never an exception
    Given the operator's configuration
    When single values of it are replaced at random
    Then each result is a table or an error

  Scenario: A heartbeat is decoded into an announcement
    When a heartbeat of instance "i-7f" arrives
    Then it announces "i-7f" of "huvo11a" at 10.128.0.9:8080 with 4 slots

  Scenario: A malformed heartbeat announces no server
    When heartbeats with single values replaced at random arrive
    Then each is an announcement with every field valid or an error

  # Guards against an address that is looked up while the loop waits, and against text
  # that cannot be passed on to peers.
  Scenario Outline: A heartbeat with an odd value announces no server
    When a heartbeat arrives whose <field> is <value>
    Then it announces no server

    Examples:
      | field   | value                 |
      | address | machine.example:8080  |
      | address | 10.128.0.9:70000      |
      | address | 10.128.0.9:-4         |
      | service | a lone surrogate      |
      | service | 100000 characters     |
      | slots   | a number of 30 digits |

  Scenario: A deregistration names the server that leaves
    When a deregistration of instance "i-7f" arrives
    Then it is a departure of "i-7f"

  Scenario: Connection headers are dropped and the sidecar's own headers are set
    When a caller's request is encoded for a server
    Then the server gets each header that belongs to the request
    And the calling service, expected instance and remaining time are the sidecar's

  Scenario Outline: The head of a server's answer shows whether the request ran
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

  Scenario Outline: The head of a server's answer names a rate limit
    When a server answers 200 with "<header>"
    Then the limit is <limit> and it is <named>

    Examples:
      | header             | limit | named     |
      | Server-Seal: s     | None  | not named |
      | Server-Limit: 2.5  | 2.5   | named     |
      | Server-Limit: 0    | 0.0   | named     |
      | Server-Limit: -1   | None  | named     |
      | Server-Limit: nan  | None  | named     |
      | Server-Limit: many | None  | named     |

  Scenario Outline: The head of a server's answer says whether the server leaves
    When a server answers 200 with "<header>"
    Then the answer says that the server <leaves>

    Examples:
      | header            | leaves         |
      | Server-Leaving: 1 | leaves         |
      | Server-Leaving: 0 | does not leave |
      | Server-Seal: s    | does not leave |

  Scenario: An answer to another request is recognised
    When a server answers 200 with "Request-Id: other"
    Then the answer belongs to another request
