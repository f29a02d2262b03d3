"""Keep the requests to one server to the rate that the server names.

A token bucket: a token is added each 1/limit seconds up to a small burst, and each
request takes one.
"""

import math

# Tokens that an unused bucket holds at most, as the requests of this many seconds; one
# at least.
BURST_S = 0.5
# A lower limit is raised to this. Only answers to requests show that a limit is over.
MIN_RATE_PER_S = 0.25
ROUNDING_ERROR = 1e-6


class RateLimit:
    """Token bucket for the requests to one server; without a limit it admits all."""

    def __init__(self) -> None:
        self._rate_per_s: float | None = None
        self._tokens = 0.0
        self._counted_at = 0.0

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second that are admitted; infinity for no limit."""
        return math.inf if self._rate_per_s is None else self._rate_per_s

    def change(self, limit_per_s: float | None, now: float) -> None:
        """Apply the limit that the server names now; None for no limit."""
        if limit_per_s is None:
            # A later limit starts with an empty bucket, as requests were sent at a
            # higher rate just before.
            self._rate_per_s = None
            self._tokens = 0.0
            return
        self._count(now)
        self._rate_per_s = max(MIN_RATE_PER_S, limit_per_s)

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until one more request is admitted, 0 if it is now."""
        if self._rate_per_s is None:
            return 0.0
        self._count(now)
        if self._tokens >= 1.0 - ROUNDING_ERROR:
            return 0.0
        return (1.0 - self._tokens) / self._rate_per_s

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self._rate_per_s is not None:
            self._count(now)
            self._tokens -= 1.0

    def give_back(self, now: float) -> None:
        """Take back take() for a request that was not sent after all."""
        if self._rate_per_s is not None:
            self._count(now)
            self._tokens = min(self._tokens + 1.0, self._burst)

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _count(self, now: float) -> None:
        if self._rate_per_s is not None:
            earned = (now - self._counted_at) * self._rate_per_s
            self._tokens = min(self._tokens + earned, self._burst)
        self._counted_at = now
