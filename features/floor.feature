Feature: Floor leases keep a service above its floor
  Homes that eject without coordination can each respect the floor and still break it
  together.

  Scenario: Homes on a faulty network never eject servers below the floor
    Then the floor holds in 60 random floor runs with every network fault

  Scenario: As many servers as the floor allows are ejected once faults end
    Given a floor fleet of 6 homes and 17 servers with a floor of 12
    When 8 servers request a floor ejection
    Then the 5 worst of them are ejected within 10 s

  Scenario: A crash returns the best ejected server to service
    Given a floor fleet of 6 homes and 17 servers with a floor of 12
    When 5 servers request a floor ejection
    And a server that stayed in service crashes
    Then the 4 worst of them are ejected within 10 s

  Scenario: Of two unhealthy servers, the worse one is ejected if the floor allows one
    Given a floor fleet of 3 homes and 3 servers with a floor of 2
    When 2 servers request a floor ejection
    Then the 1 worst of them are ejected within 10 s

  Scenario: A floor above the number of servers prevents any ejection
    Given a floor fleet of 3 homes and 3 servers with a floor of 9
    When 2 servers request a floor ejection
    Then no floor request is sent and the decision says that the floor is full

  Scenario: A release does not end a later promise
    Given a floor fleet of 3 homes and 3 servers with a floor of 2
    Then a delayed floor release leaves the newer promise in force

  Scenario: Late grants add no lease
    Given a floor fleet of 3 homes and 3 servers with a floor of 2
    Then a floor grant to an earlier process adds no lease
    And a floor grant that arrives after its release adds no lease

  Scenario: A home that was paused ejects no server and grants no lease
    Given a floor fleet of 6 homes and 17 servers with a floor of 12
    When 1 servers request a floor ejection
    And its home is paused for 4 s
    Then its ejection has ended and it grants no floor lease
    And an announcement that was queued during the pause changes nothing
