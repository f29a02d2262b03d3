"""Bound retries by the number of first attempts."""

import math

RETRY_RATIO = 0.1
# A caller of a quiet node still gets a retry now and then.
MINIMUM_TOKENS = 1.0
MINIMUM_REFILL_PER_S = 0.1
# Work that comes more often than this earns more than the minimum by itself.
IDLE_AFTER_S = 1.0
# Tokens of calm times must not pay for a burst of retries in a failure.
MAX_TOKENS = 5.0
DECAY_S = 2.0


class RetryBudget:
    """Hold tokens that first attempts earn and retries spend.

    Each entry has one for all its retries, and each home one for the retries that
    reach it. A new budget starts at the minimum.
    """

    __slots__ = ("_earned_at", "_now", "_ratio", "_tokens")

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._tokens = MINIMUM_TOKENS
        self._now = -math.inf
        self._earned_at = -math.inf

    @property
    def tokens(self) -> float:
        """Return the number of retries that may be made now."""
        return self._tokens

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._advance_clock(now)
        self._earned_at = self._now
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def can_spend(self, now: float) -> bool:
        """Tell whether spend() would allow a retry."""
        self._advance_clock(now)
        return self._tokens >= 1.0

    def spend(self, now: float) -> bool:
        """Take one retry from the budget; return whether it may be made."""
        if not self.can_spend(now):
            return False
        self._tokens -= 1.0
        return True

    def _advance_clock(self, now: float) -> None:
        # A reading that jumped back must not earn the same time twice.
        if not now > self._now:
            return
        previous = self._now
        self._now = now
        if math.isinf(previous):
            return
        if self._tokens < MINIMUM_TOKENS:
            idle_s = max(0.0, now - max(previous, self._earned_at + IDLE_AFTER_S))
            refilled = self._tokens + MINIMUM_REFILL_PER_S * idle_s
            self._tokens = min(MINIMUM_TOKENS, refilled)
            return
        excess = self._tokens - MINIMUM_TOKENS
        self._tokens = MINIMUM_TOKENS + excess * math.exp((previous - now) / DECAY_S)
