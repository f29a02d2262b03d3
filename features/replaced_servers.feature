Feature: A request runs only at a server of its service
  A server's address may be given to a server of another service, which announces itself
  to the same home. Requests that were accepted for the former server must not run there,
  however far they have come.

  # Guards against a waiting request that runs at a server of another service.
  Scenario Outline: The server is replaced while requests wait for a slot
    Given a home with all slots in use and 3 requests that wait
    When a server of <service> replaces the home's server
    Then the waiting requests are <outcome>
    And once all slots are free, the new server gets <runs> of them

    Examples:
      | service  | outcome                    | runs |
      | patterns | refused at once as not run | 0    |
      | orders   | still waiting              | 3    |

  # Guards against a granted request that is sent to a server of another service.
  Scenario Outline: The server is replaced between the grant and the request
    Given a home that has granted a slot
    When a server of <service> replaces the home's server
    And the request for the slot arrives
    Then it is <outcome>

    Examples:
      | service  | outcome                      |
      | patterns | refused as not run           |
      | orders   | sent to the server of orders |

  # Guards against any other order of offers, grants, requests and replacements in which
  # a request runs at another service.
  Scenario: Random replacements between all steps of requests
    Then in 150 random sequences each request reaches servers of its service only
