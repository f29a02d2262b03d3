Feature: The metrics of a node
  Operators and their monitoring read the metrics page only.

  # Guards against values that are as old as the last request for the status page.
  Scenario: The metrics show the requests that run now
    Given a real node with one server and 4 requests that run for a second
    When the metrics of the node are read
    Then they show 4 requests in flight
