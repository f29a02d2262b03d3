Feature: Messages between processes of different builds

  Guards against a process that is replaced before its peers and sends them fields that
  their decoders reject, which would close every link to them.

  Scenario: a peer that states no revision gets no optional fields
    Given an offer, a commit and a report with optional fields
    When they are encoded for a peer of revision 1
    Then each has only the fields that builds of revision 1 have

  Scenario: a peer of the current revision gets what was set
    Given an offer, a commit and a report with optional fields
    When they are encoded for a peer of the current revision
    Then each is decoded to an equal message

  Scenario: messages without optional values keep their size
    Given an offer, a commit and a report without optional fields
    When they are encoded for a peer of the current revision
    Then each has only the fields that builds of revision 1 have

  Scenario: a process states its revision in its boot id
    Then the boot id of this build states the current revision
    And the boot id "5f3a9c0d1e2b4f66" states revision 1
