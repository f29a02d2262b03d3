"""Circuit breaker for calls to a store that fails or is slow."""

import enum
import random

from flamingobank.store.backoff import Backoff

FAILURES_TO_OPEN = 3
PROBE_BASE_S = 0.5
PROBE_MAX_S = 30.0
# The store usually answers within milliseconds; a second shows that it is overloaded.
SLOW_ANSWER_S = 1.0
IN_FLIGHT_LIMIT = 8
SLOW_IN_FLIGHT_LIMIT = 1


class CircuitState(enum.Enum):
    """Tell whether calls are sent to the store.

    A closed circuit breaker lets calls through, an open one refuses them, and a
    probing one waits for the answer to a single call.
    """

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CircuitBreaker:
    """Stop calls during an outage except for probes, and limit them at a slow store.

    Calls to a slow store are not stopped, because its answers are correct; only
    the number of calls in flight is reduced.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state = CircuitState.CLOSED
        self.slow = False
        self._failures = 0
        self._probe_at = 0.0
        self._backoff = Backoff(rng, PROBE_BASE_S, PROBE_MAX_S)

    @property
    def in_flight_limit(self) -> int:
        """Return how many calls may be in flight."""
        return SLOW_IN_FLIGHT_LIMIT if self.slow else IN_FLIGHT_LIMIT

    def allow(self, now: float) -> bool:
        """Tell whether a call may be sent now.

        While the circuit breaker is open, one call may be sent as a probe once its
        delay is over.
        """
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
        """Close the circuit breaker after an answer that shows a working store."""
        self.state = CircuitState.CLOSED
        self.slow = latency_s > SLOW_ANSWER_S
        self._failures = 0
        self._backoff.reset()

    def record_failure(self, now: float) -> None:
        """Count a call without an answer, or with one that reports an outage."""
        self._failures += 1
        probing = self.state is CircuitState.PROBING
        if not probing and self._failures < FAILURES_TO_OPEN:
            return
        if self.state is CircuitState.OPEN:
            return
        self.state = CircuitState.OPEN
        # A fixed part, half of the base delay, keeps a random delay near zero from
        # causing a busy loop.
        delay_s = PROBE_BASE_S / 2 + self._backoff.get_delay()
        self._probe_at = now + delay_s
