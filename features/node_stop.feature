Feature: Stopping a node process
  A node that is told to stop finishes what it has accepted and ends by itself.

  Scenario: A node that gets SIGTERM under load answers open requests and exits
    Given a real node with one server and 4 requests that run for a second
    When the node gets SIGTERM twice
    Then each of the requests is answered with 200
    And the node exits by itself with code 0
