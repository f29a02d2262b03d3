Feature: The audit trail holds each change once
  A duplicate or missing entry misleads an operator about the changes that were made.

  Scenario: Each entry is stored once despite lost answers and outages
    Then 60 random audit histories end with each entry in the store once

  Scenario: The local buffer is bounded and dropped entries are reported
    Given an audit trail in virtual time
    When 6000 audit entries are added while the store is unavailable
    Then at most 4096 audit entries are buffered and 1904 dropped ones are reported

  Scenario: Entries are read back by who, what, result and time
    Given an audit trail in virtual time
    When audit entries of 3 operators are written over 5 hours
    Then filters over the audit trail select exactly the matching entries

  Scenario: A batch stays under the store's value limit
    Given an audit trail in virtual time
    When 100 audit entries with the largest evidence are added
    Then every audit object is below 1000000 bytes
