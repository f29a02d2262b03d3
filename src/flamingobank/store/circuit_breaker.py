"""Decide whether and how many calls may go to a store in trouble."""

import enum
import random

from flamingobank.store.backoff import Backoff

FAILURES_TO_OPEN = 3
PROBE_BASE_S = 0.5
PROBE_MAX_S = 30.0
# The store answers in milliseconds; a second means that it cannot keep up.
SLOW_ANSWER_S = 1.0
IN_FLIGHT_LIMIT = 8
SLOW_IN_FLIGHT_LIMIT = 1


class CircuitState(enum.Enum):
    """Say whether calls go to the store."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CircuitBreaker:
    """Stop calls during an outage, probe it, and thin calls while it is slow.

    A slow store is not cut off: its answers are right, so only the number of
    calls in flight shrinks.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state = CircuitState.CLOSED
        self.slow = False
        self._failures = 0
        self._probe_at = 0.0
        self._backoff = Backoff(rng, PROBE_BASE_S, PROBE_MAX_S)

    @property
    def in_flight_limit(self) -> int:
        """Return how many calls may be under way."""
        return SLOW_IN_FLIGHT_LIMIT if self.slow else IN_FLIGHT_LIMIT

    def allow(self, now: float) -> bool:
        """Tell whether a call may be sent; an open circuit lets one probe pass."""
        if self.state is CircuitState.CLOSED:
            return True
        if self.state is CircuitState.PROBING or now < self._probe_at:
            return False
        self.state = CircuitState.PROBING
        return True

    def get_wait(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._probe_at - now)

    def record_answer(self, latency_s: float) -> None:
        """Count an answer of any kind that shows the store at work."""
        self.state = CircuitState.CLOSED
        self.slow = latency_s > SLOW_ANSWER_S
        self._failures = 0
        self._backoff.reset()

    def record_failure(self, now: float) -> None:
        """Count a call without an answer, or one that says the store is away."""
        self._failures += 1
        probing = self.state is CircuitState.PROBING
        if not probing and self._failures < FAILURES_TO_OPEN:
            return
        if self.state is CircuitState.OPEN:
            return
        self.state = CircuitState.OPEN
        # Half of the delay is fixed, so that a draw near zero is no busy loop.
        delay_s = PROBE_BASE_S / 2 + self._backoff.get_delay()
        self._probe_at = now + delay_s
