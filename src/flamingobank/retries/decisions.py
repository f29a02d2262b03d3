"""Decide whether to retry an attempt that returned no answer."""

import enum

from flamingobank.admission.work import Work
from flamingobank.core import Disposition, Refusal, RefusalCause
from flamingobank.retries.budget import RetryBudget

# A request that failed this many times is taken to be the cause of its failures.
MAX_ATTEMPTS = 3
# No retry is sent in the second half of the time to the deadline; the attempt that
# is already running keeps that time.
LATEST_RETRY_SHARE = 0.5
HOME_RETRY_AFTER_S = 1.0


class RetryDecision(enum.Enum):
    """Result of decide_retry(): retry, or the rule that forbids it."""

    RETRY = "retry"
    ANSWERED = "answered"
    STILL_RUNNING = "still-running"
    MAY_HAVE_RUN = "may-have-run"
    TOO_MANY = "too-many"
    TOO_LATE = "too-late"
    NO_BUDGET = "no-budget"


def decide_retry(
    work: Work,
    outcome: Disposition,
    accepted_at: float,
    budget: RetryBudget,
    now: float,
) -> RetryDecision:
    """Decide whether the entry sends another attempt.

    RETRY means that the retry has already been taken from the budget.
    accepted_at is the clock reading at which the entry accepted the request.
    """
    if outcome is Disposition.DONE:
        return RetryDecision.ANSWERED
    if outcome is Disposition.STILL_RUNNING:
        return RetryDecision.STILL_RUNNING
    if outcome is Disposition.UNKNOWN and not work.idempotent:
        return RetryDecision.MAY_HAVE_RUN
    if work.attempt + 1 >= MAX_ATTEMPTS:
        return RetryDecision.TOO_MANY
    # The negated comparison also forbids the retry when a clock reading is NaN.
    if not now - accepted_at <= LATEST_RETRY_SHARE * (work.deadline - accepted_at):
        return RetryDecision.TOO_LATE
    if not budget.spend(now):
        return RetryDecision.NO_BUDGET
    return RetryDecision.RETRY


def admit_attempt(work: Work, budget: RetryBudget, now: float) -> Refusal | None:
    """Return a refusal if the home's budget allows no retry, or None to admit.

    A first attempt is always admitted and adds to the budget.
    """
    if work.attempt <= 0:
        budget.earn(now)
        return None
    if budget.spend(now):
        return None
    return Refusal(
        Disposition.NOT_RUN,
        RefusalCause.LIMIT,
        HOME_RETRY_AFTER_S,
        f"attempt {work.attempt + 1} of request {work.request_id}: "
        "the home's retry budget is used up",
    )


def merge_dispositions(earlier: Disposition, latest: Disposition) -> Disposition:
    """Combine the dispositions of the earlier attempts and of the latest one.

    If the latest attempt was not run, an earlier one may still have been, so the
    disposition of the earlier attempts is kept.
    """
    if Disposition.DONE in (earlier, latest):
        return Disposition.DONE
    if earlier is Disposition.NOT_RUN:
        return latest
    if latest is Disposition.NOT_RUN:
        return earlier
    return Disposition.UNKNOWN
