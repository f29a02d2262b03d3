"""Hedge slow requests: send a second copy while enough slots are free."""

import enum

from flamingobank.admission.work import Work
from flamingobank.retries.budget import RetryBudget

# A hedge is sent only while more than this share of the slots is free.
MIN_FREE_SHARE = 1 / 3


class HedgeDecision(enum.Enum):
    """Result of decide_hedge(): send a second copy, or the rule that forbids it."""

    HEDGE = "hedge"
    MAY_RUN_TWICE = "may-run-twice"
    NOT_SLOW = "not-slow"
    TOO_LATE = "too-late"
    TOO_BUSY = "too-busy"
    NO_BUDGET = "no-budget"


def decide_hedge(
    work: Work,
    started_at: float,
    slow_after_s: float,
    free_slots: int,
    total_slots: int,
    budget: RetryBudget,
    now: float,
) -> HedgeDecision:
    """Decide whether to send a second copy of a running request.

    HEDGE means that the copy has already been taken from the budget. slow_after_s is
    the 95th percentile of the route's durations. The slot counts are those of the
    service, as its homes last reported them.
    """
    if not work.idempotent:
        return HedgeDecision.MAY_RUN_TWICE
    if not now - started_at >= slow_after_s:
        return HedgeDecision.NOT_SLOW
    if not now + slow_after_s <= work.deadline:
        return HedgeDecision.TOO_LATE
    if total_slots <= 0 or free_slots <= MIN_FREE_SHARE * total_slots:
        return HedgeDecision.TOO_BUSY
    if not budget.spend(now):
        return HedgeDecision.NO_BUDGET
    return HedgeDecision.HEDGE


class HedgeRace:
    """Track the copies of a hedged request, of which only one may answer.

    The caller of this class must cancel the other copies.
    """

    __slots__ = ("_running", "_winner")

    def __init__(self, first: int) -> None:
        self._running = {first}
        self._winner: int | None = None

    @property
    def winner(self) -> int | None:
        """Return the attempt whose answer is used, or None before any answer."""
        return self._winner

    def add(self, attempt: int) -> bool:
        """Add a copy; return False if one has answered, so it must not be sent."""
        if self._winner is not None:
            return False
        self._running.add(attempt)
        return True

    def accept_answer(self, attempt: int) -> list[int] | None:
        """Record that a copy starts to answer; return the copies to cancel.

        None means that the answer must be dropped, because another copy has
        answered or the attempt is not in this race.
        """
        if attempt not in self._running:
            return None
        self._winner = attempt
        losers = sorted(self._running - {attempt})
        self._running = {attempt}
        return losers

    def fail(self, attempt: int) -> bool:
        """Record that a copy failed; return whether no copy is left."""
        self._running.discard(attempt)
        return not self._running
