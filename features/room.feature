Feature: A home learns how much its server takes and reports it
  Homes in virtual time with a simulated server of 4 slots.

  # Guards against limits that no server has, and that keep a server unused for good.
  Scenario: Whatever happens, the limit stays between 1 and the slots
    When random answers, rejections and loads are noted
    Then the limit stays between 1 and the slots and returns to them with answers

  # Guards against a service that is ejected for a cause that all its servers share.
  Scenario: A whole service rejects part of its work for 7 s
    Given a scheduled home with the work slab-booking 0.5 s
    When 7 slab-booking a second arrive for 7 s while the server rejects 4 in 10
    Then it reports shedding from 0.2 to 0.6 and still accepts work
    And no request was sent to the server twice
    When 7 slab-booking a second arrive for 4 s while the server rejects 0 in 10
    Then it reports shedding from 0.0 to 0.0 and still accepts work
    And it reports a limit of 4

  # Guards against requests that are sent into a server known to be full.
  Scenario: A server that takes less than its slots gets little more than it takes
    Given a scheduled home with the work slab-booking 0.5 s
    When 12 slab-booking a second arrive for 10 s while the server takes 2 at once
    Then at most 0.2 of what was sent was rejected
    And the server ran at least 0.85 of what 2 slots can

  # Guards against a server that looks idle because it rejects everything at once.
  Scenario: A server that rejects everything gets few requests
    Given a scheduled home with the work slab-booking 0.5 s
    When 40 slab-booking a second arrive for 10 s while the server rejects 10 in 10
    Then at most 50 requests were sent to the server

  # Guards against a newly started server that gets full work before it is warm.
  Scenario: A new server gets less at first and then more
    Given a scheduled home with the work slab-booking 0.5 s
    When a server that is warm in 3 s is announced and 12 slab-booking a second arrive for 0.3 s
    Then 2 run at the server
    When 12 slab-booking a second arrive for 3 s while the server rejects 0 in 10
    Then 4 run at the server

  # Guards against homes that halve the slots of all servers after a restart of the
  # whole fleet, beside servers that ran on.
  Scenario: A server that is warm gets its slots at once
    Given a scheduled home with the work slab-booking 0.5 s
    When a server that is warm in 0 s is announced and 12 slab-booking a second arrive for 0.4 s
    Then 4 run at the server

  # Guards against slots that are promised while abandoned requests hold them.
  Scenario: Work that the home did not send takes its slots
    Given a scheduled home with the work slab-booking 0.5 s
    When the server states 2 more running than it was sent, and 12 slab-booking a second arrive for 2 s
    Then it reports a limit of 2

  Scenario: Reports state the wait and the pace
    Given a scheduled home with the work slab-booking 0.5 s
    When 8 slab-booking arrive that were expected to take 0.25 s
    Then the stated wait is from 0.4 to 0.8 s
    When 8 slab-booking a second arrive for 20 s that were expected to take 0.25 s
    Then the stated pace is from 1.7 to 2.1
