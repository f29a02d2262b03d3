Feature: Retries, hedges and resumed downloads
  Retries must never repeat work that may run only once, nor multiply the load when
  servers fail. A resumed download must equal the original answer byte for byte.

  Scenario: Retries stay within a tenth of the first attempts
    When random first attempts and retries use a retry budget
    Then no time span has more retries than its first attempts allow

  Scenario: A clock that jumps back does not refill the budget
    Given a retry budget that was used up at 100 seconds
    When its clock reads 50 and then 100 seconds
    Then the budget allows no retry

  Scenario: Only work that is idempotent or was not run is retried
    When all combinations of retry conditions are decided
    Then every retry satisfies all the rules and every refusal breaks one

  Scenario: A refused last attempt does not hide that an earlier one ran
    When the outcomes of two attempts are merged in all combinations
    Then the result is not-run only if both attempts were not run

  Scenario: A hedge needs more than a third of the slots free
    When hedges are decided for every number of free slots of 12
    Then only more than 4 free slots allow a hedge of slow idempotent work

  Scenario: Only one copy of a hedged request answers
    When hedged copies answer, fail and join in random order
    Then at most one copy answers and all others are cancelled

  Scenario: A resumed download is the whole answer or a typed refusal
    When random downloads are interrupted at servers that change or ignore ranges
    Then the caller gets the exact body or a refusal, never other bytes

  Scenario Outline: Conditions that forbid resuming a download
    Given a download with <change>
    Then its resumption is refused as "<refusal>"

    Examples:
      | change                  | refusal           |
      | a weak validator        | weak-validator    |
      | no validator            | no-validator      |
      | no length               | no-length         |
      | method POST             | not-get           |
      | a range from the caller | had-range         |
      | status 404              | status            |
      | no ranges               | no-ranges         |
      | a whole answer          | whole-answer      |
      | another validator       | changed-validator |
      | another length          | changed-length    |
      | another encoding        | changed-encoding  |
      | another offset          | wrong-range       |
      | no content range        | wrong-range       |
      | four interruptions      | too-many          |
