Feature: The start of a sidecar process
  Signals may come at any moment, also before the process has begun to serve.

  # Guards against a process that a request to read its settings again ends.
  Scenario: A sidecar gets SIGHUP while it loads its libraries
    Given a sidecar process that has loaded its HTTP parser
    When it gets SIGHUP
    Then it goes on and logs its start
