Feature: Frames, handshakes and messages between nodes
  A hostile or faulty peer must lose only its own connection.

  Scenario Outline: A damaged stream of frames ends without a damaged message
    Given a stream of 3 wire frames
    When the wire frames are <damage>
    Then the decoder passes <passed> wire frames and <end>

    Examples:
      | damage       | passed | end                  |
      | whole        | 3      | waits for more       |
      | truncated    | 2      | waits for more       |
      | oversized    | 0      | refuses the rest     |
      | altered      | 0      | refuses the rest     |
      | replayed     | 0      | refuses the rest     |
      | reordered    | 0      | refuses the rest     |
      | garbage      | 0      | refuses the rest     |
      | not an array | 0      | refuses the rest     |
      | unhashable   | 0      | refuses the rest     |

  Scenario Outline: A malformed message is refused with its reason
    When a wire message of type <kind> has the fields <fields>
    Then the wire message is refused with "<reason>"

    Examples:
      | kind | fields                                                     | reason               |
      | 99   | []                                                         | unknown message type |
      | 7    | []                                                         | at least 1           |
      | 7    | ["much"]                                                   | expected int         |
      | 7    | [true]                                                     | expected int         |
      | 17   | [{"a": 3}, true]                                           | malformed entries    |
      | 8    | ["h","b",1,"a",1,"d","r",false,[["s",1,1,[7]]],"a",1]      | malformed entries    |
      | 8    | ["h","b",1,"a",1,"d","r",false,[7],"a",1]                  | malformed entries    |

  Scenario: Fields of a newer version are ignored
    When a wire message of type 7 has the fields [5, "new", {}]
    Then the wire message reports 5 consumed bytes

  Scenario Outline: A handshake succeeds only if both nodes share a secret
    When a node with secrets <initiator> and version <version> starts a handshake with one that has <acceptor>
    Then the wire handshake <result>

    Examples:
      | initiator | acceptor | version | result           |
      | old       | old      | 1       | agrees           |
      | old       | old,new  | 1       | agrees           |
      | old,new   | old      | 1       | agrees           |
      | new,old   | old,new  | 1       | agrees           |
      | old,new   | new,old  | 1       | agrees           |
      | new       | old      | 1       | names the secret |
      | new       | new,old  | 0       | names version 0  |

  Scenario: Messages of all types round-trip and random bytes never raise
    Then 200 random wire messages of every type come back equal
    And 500 random byte strings pass no decoder of the wire

  Scenario Outline: A hostile peer loses its own link only
    Given a node that listens for links with an honest peer
    When a peer on another link sends <hostile>
    Then only the link of the hostile peer is closed
    And the honest peer still exchanges messages

    Examples:
      | hostile               |
      | raw garbage           |
      | an unknown message    |
      | headers of text       |
      | an unknown class      |
      | a replayed frame      |

  Scenario Outline: A home that violates the protocol for an answer loses its link
    When the home of a remote request sends <messages>
    Then the remote request refuses the message and its sink gets only valid events

    Examples:
      | messages             |
      | a part without head  |
      | two heads            |
      | another request's id |
      | an unknown state     |
