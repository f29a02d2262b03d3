Feature: Workspaces with keys
  A request runs only for the workspace whose key it carries, no server or log gets a
  key, and a withdrawn key is out of use in time on every process. Homes and the store
  are scripted; gossip runs on loopback sockets in virtual time.

  # Guards against requests that run without a key or for another workspace, against keys
  # that are passed on, and against refusals that are not true.
  Scenario Outline: The key decides who is served and what the server is told
    Given an entry with a table that is <age>, and a <kind> route
    When a request with <key> and a forged Tenant header is served
    Then the caller gets <status> and the server the workspace "<workspace>"
    And the key is in no message, header, log line or metric

    Examples:
      | age           | kind   | key               | status | workspace |
      | fresh         | keyed  | Token k-clinic    | 200    | clinic    |
      | fresh         | keyed  | token   k-clinic  | 200    | clinic    |
      | fresh         | keyed  | Token k-other     | 401    | -         |
      | fresh         | keyed  | Bearer k-clinic   | 401    | -         |
      | fresh         | keyed  | two keys          | 401    | -         |
      | fresh         | keyed  | no key            | 401    | -         |
      | too old       | keyed  | Token k-clinic    | 503    | -         |
      | too old       | keyed  | no key            | 503    | -         |
      | missing       | keyed  | Token k-clinic    | 503    | -         |
      | fresh         | public | no key            | 200    |           |
      | fresh         | public | Token k-clinic    | 200    | clinic    |
      | too old       | public | Token k-clinic    | 200    |           |

  # Guards against a withdrawn key whose use the log cannot explain.
  Scenario: The log tells what the key of a request that was sent rests on
    Given an entry with a table that is fresh, and a keyed route
    When the peer "one" has confirmed its table 1.5 s ago
    And a request with Token k-clinic and a forged Tenant header is served
    Then the line of the request says that its key rests on "one" and is 1500 ms old

  # Guards against keys in the log, and against keys of a single character.
  Scenario: A configuration with odd keys neither shows them nor allows parts of them
    When configurations with odd keys are decoded
    Then no result shows a key, and no part of a key is a key

  # Guards against a changed behaviour of fleets that have no workspaces.
  Scenario: Without workspaces both headers and the priority pass unchanged
    Given an entry with a table without workspaces
    When a request with Token k-clinic and a forged Tenant header is served
    Then the server gets both headers as the caller sent them, with priority 1

  # Guards against a key that is passed on since it was not needed at first.
  Scenario: A request waits while the first workspaces are configured
    Given an entry with a table without workspaces
    When the workspace "clinic" is configured between an offer and its grant
    Then the server gets the workspace "clinic" and neither header of the caller

  # Guards against a home that loses the workspace between the entry and the server.
  Scenario: The server gets the name of the workspace from its home
    Given a home whose server answers
    When the home gets a request of the workspace "clinic"
    Then the server gets the header "tenant: clinic"

  # Guards against a head that cannot be read and is kept with its key.
  Scenario: The headers of a request that is rejected are dropped
    When a connection rejects a request whose headers carry a key
    Then none of its headers is kept

  # Guards against a home of an earlier build, which would lose the workspace.
  Scenario: A request with a workspace is not committed to a home of an earlier build
    Given an entry with a table that is fresh, and a keyed route
    And its first home is of an earlier build
    When a request with Token k-clinic and a forged Tenant header is served
    Then the caller gets 200 and the server the workspace "clinic"
    And the home of the earlier build got nothing

  # Guards against keys that were withdrawn while many requests waited.
  Scenario Outline: Requests that wait are checked again before they are sent
    Given 200 requests of 100 workspaces that wait at a home
    When <change> while they wait, and the home grants them all
    Then <refused> requests get <status> without being sent, and the others are served

    Examples:
      | change                              | refused | status |
      | half of the keys are withdrawn      | 100     | 401    |
      | the table becomes too old           | 200     | 503    |

  # Guards against an age that nears the deadline in calm, and against priced calls.
  Scenario: In calm the table of each of 95 processes is confirmed all the time
    Given 95 processes that confirm their tables
    When 10 seconds pass in calm
    Then no table was older than 2 seconds, and the store got at most 7 calls a second

  # Guards against keys that expire on the first machines that get this build.
  Scenario: A process whose peers confirm nothing reads the store in time
    Given 60 processes that confirm their tables
    When all but one, which is no watcher, are of an earlier build for 10 seconds
    Then its table was never older than 3.75 seconds, at 1 call a second at most

  # Guards against keys that are used by a process that is cut off.
  Scenario Outline: Keys are not used past the deadline, and are used again afterwards
    Given 20 processes that confirm their tables
    When <fault> for 8 seconds
    Then <process> refuses keys from 3.75 s after the last confirmation on
    And it uses keys again within 3 seconds after the fault

    Examples:
      | fault                                | process         |
      | the store is down                    | each process    |
      | one process hears nobody and nothing | that process    |

  # Guards against the age of another version, of a store that went back and of a start.
  Scenario Outline: The age of a table is that of its own version
    Given a process that started with version 5 <seconds> s ago, read when it started
    When <report>
    Then its keys are <use>

    Examples:
      | seconds | report                                           | use    |
      | 4       | a peer with version 5 reports 1 s                | used   |
      | 4       | a peer with version 4 reports 1 s                | unused |
      | 4       | a peer with version 6 reports 1 s                | unused |
      | 4       | the store holds version 5                        | used   |
      | 4       | the store went back to version 4                 | used   |
      | 4       | the store went back, and a peer has version 6    | unused |
      | 4       | version 6 comes into force, reported by a peer   | used   |
      | 2       | version 6 comes into force, reported by nobody   | unused |
      | 1       | no peer has shown its version                    | unused |
      | 1       | a peer has shown version 5                       | used   |
      | 1       | a peer has shown version 6                       | unused |

  # Guards against a datagram or reply from before a suspension that looks new after it.
  Scenario: What waits while a process is suspended is not dated at its arrival
    Given 2 processes that confirm their tables
    When one of them is suspended for 10 seconds, with gossip and a reply waiting
    Then both date from before the suspension
    And the newest reading that it reports to peers does too

  # Guards against a process that goes on refusing keys until its turn to read the store.
  Scenario: A process that goes on after a suspension reads the store for its first request
    Given 20 processes that confirm their tables
    When one of them, which is no watcher, is suspended for 10 seconds
    And 3 requests with keys arrive at once when it goes on
    Then they are refused, and 0.05 seconds later keys are used again, after 1 call

  # Guards against calls for each request to a store that cannot answer or confirm.
  Scenario Outline: Requests with keys do not multiply the calls to the store
    Given 20 processes that confirm their tables
    When <what happens> for 10 seconds, in which requests with keys arrive all the time
    Then the store gets at most <percent>% more calls than without them

    Examples:
      | what happens                            | percent |
      | the store is down                       | 25      |
      | the store has an older version          | 25      |

  # Guards against an age that was computed before a suspension and sent after it.
  Scenario: A process is suspended before the age of its table has left
    Given 2 processes that confirm their tables
    When one of them is suspended for 10 seconds while it sends the age of its table
    And it reports to the other once more
    Then the other dates no confirmation after the time that the first one knows

  # Guards against a watch that the store cut off early, whose answer waited during a
  # suspension, and counted as the end of a wait in vain.
  Scenario: The end of a watch that waits during a suspension does not confirm the wait
    Given a process that watches the store over a connection
    When the store cuts the watch off, and the process is suspended before it reads that
    Then the table is confirmed at no time after the watch was cut off

  # Guards against a bound so careful that each watch leaves the table as old as before.
  Scenario: A watch that ends in time confirms most of its wait
    Given a process that watches the store over a connection
    When the store answers the watch at the end of its wait
    Then the table is confirmed at most 0.2 s before that
