Feature: Node settings and secret files
  A node that starts with wrong or more permissive settings than intended does
  harm, so each mistake must be rejected before the node listens on any address.

  Scenario: Complete settings are loaded with paths relative to the file
    Given a settings file with every section
    When the settings are loaded
    Then the loaded node has the addresses, limits and paths of the file
    And the loaded settings read back equal after they were rendered

  Scenario Outline: The error about a wrong setting names the place and both values
    Given a settings file with every section
    When "<key>" of section "<section>" is "<value>" and the settings are loaded
    Then the only settings error is about "<section>" "<key>" and expects "<expected>"

    Examples:
      | section | key             | value          | expected                        |
      | listen  | callers         | localhost:8080 | IP:port                         |
      | listen  | callers         | 10.0.0.1       | IP:port                         |
      | listen  | callers         | 10.0.0.1:70000 | a port from 0 to 65535          |
      | listen  | peers           | 0.0.0.0:7100   | of one interface, not 0.0.0.0   |
      | listen  | operators       | 10.0.0.1:7100  | an address of its own           |
      | listen  | operatrs        | 10.0.0.1:1     | 'operators'                     |
      | peers   | seeds           | 10.0.0.1:0     | a port from 1 to 65535          |
      | limits  | max_connections | 0              | a whole number from 1           |
      | store   | token_file      |                | the name of a file              |
      | limit   | max_connections | 10             | 'limits'                        |

  Scenario: A node cannot start from settings without its addresses
    When a settings file with only "[node]" is loaded
    Then the settings errors name all 3 keys of "node" and all 4 keys of "listen"

  Scenario Outline: Secret files hold one secret, or two during a rotation
    When a secret file of mode <mode> with the lines "<lines>" is loaded
    Then the secret result is "<result>" and shows no secret

    Examples:
      | mode | lines                                               | result                    |
      | 600  | first-secret-of-20ch                                | 1 secrets                 |
      | 600  | first-secret-of-20ch / other-secret-of-20ch         | 2 secrets                 |
      | 600  | first-secret-of-20ch / first-secret-of-20ch         | the same secret twice     |
      | 600  | first-secret-of-20ch / b-secret-of-20ch / c-secret- | 3 lines                   |
      | 600  | short                                               | 5 characters on line 1    |
      | 622  | first-secret-of-20ch                                | mode 622                  |
