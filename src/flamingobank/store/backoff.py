"""Exponential backoff between repeated calls."""

import random

BASE_DELAY_S = 0.05
MAX_DELAY_S = 30.0


class Backoff:
    """Exponential backoff with full jitter.

    Each failure doubles the upper bound of the delay, and the delay is drawn at
    random below that bound. This keeps nodes that failed at the same time from
    retrying at the same time.
    """

    def __init__(
        self,
        rng: random.Random,
        base_s: float = BASE_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._max_s = max_s
        self._failures = 0

    def get_delay(self) -> float:
        """Count a failure and return the delay in seconds."""
        # The exponent is bounded because the power would overflow in a long outage.
        bound = min(self._max_s, self._base_s * 2 ** min(self._failures, 32))
        self._failures += 1
        return self._rng.random() * bound

    def reset(self) -> None:
        """Reset the number of failures after a success."""
        self._failures = 0
