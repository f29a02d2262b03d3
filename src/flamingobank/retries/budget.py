"""Limit retries to a share of the first attempts."""

import math

RETRY_RATIO = 0.1
# Allows an occasional retry on a node with little traffic.
MINIMUM_TOKENS = 1.0
MINIMUM_REFILL_PER_S = 0.1
# MINIMUM_REFILL_PER_S applies only after this long without a first attempt. First
# attempts that arrive more often earn more than this refill, at RETRY_RATIO each.
IDLE_AFTER_S = 1.0
# The cap and the decay keep tokens that were saved in normal operation from paying
# for a burst of retries during a failure.
MAX_TOKENS = 5.0
# Time constant of the exponential decay of the tokens above MINIMUM_TOKENS.
DECAY_S = 2.0


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Each entry has one budget for all the retries that it makes, and each home has one
    for the retries that reach it. A new budget holds the minimum number of tokens.
    """

    __slots__ = ("_earned_at", "_now", "_ratio", "_tokens")

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._tokens = MINIMUM_TOKENS
        self._now = -math.inf
        self._earned_at = -math.inf

    @property
    def tokens(self) -> float:
        """Return the number of retries that the budget allows now."""
        return self._tokens

    def earn(self, now: float) -> None:
        """Add the tokens that a first attempt earns."""
        self._advance_clock(now)
        self._earned_at = self._now
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def can_spend(self, now: float) -> bool:
        """Return whether spend() would allow a retry."""
        self._advance_clock(now)
        return self._tokens >= 1.0

    def spend(self, now: float) -> bool:
        """Take one token for a retry; return whether the retry is allowed."""
        if not self.can_spend(now):
            return False
        self._tokens -= 1.0
        return True

    def _advance_clock(self, now: float) -> None:
        # After the clock jumps back, the same period must not refill the budget twice.
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
