Feature: Clients outside the limits do not take a process down
  Real processes on loopback. A crowd of clients stays open while the process is checked.
  The limits are those of the processes' own settings, which are lower than a machine's.

  # Guards against bodies without a stated length that are held without a bound, in one
  # object for each chunk, so that memory grows far beyond the size of the bodies.
  Scenario Outline: Many chunked bodies stop just short of their end
    Given processes of 100 MB and 1000 descriptors, with the server beside
    When <clients> clients send <chunks> chunks of <sizes> bytes each and stay open
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    Examples:
      | clients | chunks | sizes       |
      | 150     | 14     | 60000-65536 |
      | 100     | 60000  | 1-16        |

  # Guards against bodies of legal size that together take more memory than the machine has.
  Scenario Outline: Many bodies of legal size come at once
    Given processes of 100 MB and 1000 descriptors, with the server <place>
    When 120 clients send 900000 bytes with their length, <how> and stay open
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    Examples:
      | place             | how                                 |
      | beside            | piece by piece, most without an end |
      | beside            | whole                               |
      | on another machine | whole                              |

  # Guards against output that is held for callers who hardly read it.
  Scenario Outline: Many callers read long answers slowly
    Given processes of 100 MB and 1000 descriptors, with the server <place>
    When 40 clients ask for answers of 8000000 bytes and read 20000 of them
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    Examples:
      | place              |
      | beside             |
      | on another machine |

  # Guards against bytes without end that a server sends in place of an answer, which are
  # held until the process runs out of memory.
  Scenario Outline: Servers send bytes without end
    Given processes of 100 MB and 1000 descriptors, with the server <place>
    When 8 clients send <before> and one whose answer is <what> without end, and read 20000 bytes
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    Examples: the answer is the next to be sent
      | place              | before  | what                   |
      | beside             | nothing | a head                 |
      | beside             | nothing | a body with a length   |
      | on another machine | nothing | a header               |
      | on another machine | nothing | a body with a length   |
      | on another machine | nothing | a body of chunks       |

    Examples: the answer waits behind another one
      | place              | before               | what                   |
      | beside             | a request that waits | a body of chunks       |
      | on another machine | a request that waits | a header               |
      | on another machine | a request that waits | a body with a length   |
      | on another machine | a request that waits | a body of chunks       |
      | on another machine | a request that waits | a body of small chunks |

  # Guards against whole answers that wait behind a slow one and are held without a bound.
  Scenario Outline: Many answers wait behind a slow one
    Given processes of 100 MB and 1000 descriptors, with the server <place>
    When 8 clients send a request that waits and <count> with answers of <size> bytes behind it
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    # KNOWN-RED 25
    @known_red
    Examples: large answers of the server beside
      | place              | count | size    |
      | beside             | 30    | 1000000 |

    Examples:
      | place              | count | size    |
      | on another machine | 30    | 1000000 |
      | on another machine | 30    | 200000  |

  # Guards against the requests of one connection that are held without a bound.
  Scenario: One caller pipelines many large requests
    Given processes of 100 MB and 1000 descriptors, with the server beside
    When 1 client sends 60 requests with bodies of 4000000 bytes and reads nothing
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

  # Guards against connections without a request that take all descriptors.
  Scenario Outline: Many connections send no whole request
    Given processes of 100 MB and 400 descriptors, with the server beside
    When 350 clients connect and send <sent>
    Then the processes live and stay within their limits
    And one ordinary request is answered with 200

    Examples:
      | sent                  |
      | nothing               |
      | heads that never end  |
      | bodies that stop      |

  # Guards against descriptors beyond the limit, when callers connect faster than their
  # requests are read.
  Scenario Outline: Callers connect faster than their requests are read
    Given an address for callers and one for readiness in a process of 400 descriptors
    When 350 callers take descriptors, which <crowd>
    Then at most 175 descriptors are open

    Examples:
      | crowd                   |
      | connect and keep silent |
      | send bodies that stop   |

  # Guards against a process that looks dead to its platform and its server, because callers
  # hold all descriptors.
  Scenario Outline: The process is asked for its readiness while callers take all descriptors
    Given an address for callers and one for readiness in a process of 400 descriptors
    When 350 callers take descriptors, which <crowd>
    Then 20 readiness questions on connections of their own are answered, <pause> s apart
    And 100 connections to that address leave at most 181 descriptors open

    Examples:
      | crowd                    | pause |
      | send bodies that stop    | 0     |
      | send bodies that stop    | 1.5   |
      | send their bodies slowly | 1.5   |

  # Guards against limits that refuse the largest request that a configuration allows.
  Scenario Outline: One body of the largest size comes in calm
    Given processes of 200 MB and 1000 descriptors, with the server <place>
    And bodies of 67108864 bytes are allowed
    When one caller sends 67108864 bytes
    Then it is answered with 200
    And the processes live and stay within their limits

    Examples:
      | place              |
      | beside             |
      | on another machine |

  # Guards against sums that drift, and against choices that spare those who hold the most.
  Scenario: The account gives up what makes the least progress
    Then 300 random crowds of holders are relieved in the stated order
    And budgets follow the memory of the machine

  # Guards against sums that drift when connections end in the middle of a request.
  Scenario: Nothing is held after all callers have left
    Then nothing is counted after 60 random crowds of callers have come and gone
