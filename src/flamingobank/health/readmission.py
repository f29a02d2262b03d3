"""Readmit an ejected server gradually with a small share of real work."""

import enum

from flamingobank.health.evidence import WorkOutcome

INITIAL_WAIT_S = 2.0
MAX_WAIT_S = 300.0
# After this long in service, the next ejection starts at INITIAL_WAIT_S again.
RESET_AFTER_S = 600.0
TRICKLE_SHARE = 0.1
# Credit that ends the trickle: each success adds one and each failure subtracts
# FAILURE_COST. If a tenth of the work fails on every server of the service, the credit
# still grows, so the server returns.
FULL_CREDIT = 30
FAILURE_COST = 5


class Stage(enum.Enum):
    """How much work a server may get."""

    IN_SERVICE = "in-service"
    EJECTED = "ejected"
    TRICKLE = "trickle"


class Readmission:
    """Ejection and gradual return to service of one server."""

    __slots__ = (
        "_credit",
        "_in_service_since",
        "_stage",
        "_wait_s",
        "retry_at",
        "share",
    )

    def __init__(self, now: float) -> None:
        self._stage = Stage.IN_SERVICE
        self._wait_s = INITIAL_WAIT_S
        self._in_service_since = now
        self._credit = 0
        self.retry_at = now
        self.share = 1.0

    @property
    def wait_s(self) -> float:
        """Return the duration of the next ejection in seconds."""
        return self._wait_s

    def get_stage(self, now: float) -> Stage:
        """Return the stage; an ejection whose wait is over changes to a trickle."""
        if self._stage is Stage.EJECTED and now >= self.retry_at:
            self._stage = Stage.TRICKLE
            self._credit = 0
            self.share = TRICKLE_SHARE
        return self._stage

    def eject(self, now: float) -> None:
        """Eject the server; each ejection lasts twice as long as the previous one."""
        if self._stage is Stage.EJECTED:
            return
        in_service_s = now - self._in_service_since
        if self._stage is Stage.IN_SERVICE and in_service_s >= RESET_AFTER_S:
            self._wait_s = INITIAL_WAIT_S
        self._stage = Stage.EJECTED
        self.share = 0.0
        self.retry_at = now + self._wait_s
        self._wait_s = min(2.0 * self._wait_s, MAX_WAIT_S)

    def reverse(self, now: float) -> None:
        """Return the server to service at once, for example if the floor needs it."""
        if self._stage is Stage.IN_SERVICE:
            return
        self._stage = Stage.IN_SERVICE
        self._in_service_since = now
        self.share = 1.0

    def record(self, outcome: WorkOutcome, now: float, slow: bool = False) -> Stage:
        """Record the outcome of work during a trickle; slow work counts as failed."""
        if self.get_stage(now) is not Stage.TRICKLE:
            return self._stage
        if slow or outcome in (WorkOutcome.FAILED, WorkOutcome.TIMED_OUT):
            self._credit -= FAILURE_COST
        elif outcome is WorkOutcome.SUCCEEDED:
            self._credit += 1
        if self._credit <= -FAILURE_COST:
            self.eject(now)
            return self._stage
        earned = max(self._credit, 0) / FULL_CREDIT
        self.share = TRICKLE_SHARE + (1.0 - TRICKLE_SHARE) * earned
        if self._credit >= FULL_CREDIT:
            self.reverse(now)
        return self._stage
