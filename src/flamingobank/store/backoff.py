"""Choose how long to wait before a call is repeated."""

import random

BASE_DELAY_S = 0.05
MAX_DELAY_S = 30.0


class Backoff:
    """Double the bound of a delay with each failure; draw the delay below it.

    Full jitter keeps nodes that failed together from returning together.
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
        # The exponent is bounded because the power of a long outage overflows.
        bound = min(self._max_s, self._base_s * 2 ** min(self._failures, 32))
        self._failures += 1
        return self._rng.random() * bound

    def reset(self) -> None:
        """Forget the failures after a success."""
        self._failures = 0
