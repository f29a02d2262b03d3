"""Estimate from request outcomes the probability that a server has a gray failure.

A server is modelled as a hidden Markov chain with two states, failing and healthy.
Between observations the estimate decays at the rates at which servers change state, so
without traffic it returns to the long-run share of failing servers.
"""

import math

# Rates at which a healthy server starts to fail and a failing one recovers. A gray
# failure lasts some seconds; the healthy period after it is two to four times as long.
ONSET_PER_S = 0.11
RECOVERY_PER_S = 0.33
# A failing server fails most requests, a healthy one about one in eighty.
FAILURE_RATE_WHEN_FAILING = 0.8
FAILURE_RATE_WHEN_HEALTHY = 0.012
# Bounds of the estimated probability; without them it could come so close to 0 or 1
# that new outcomes would hardly change it.
MIN_PROBABILITY = 0.002
MAX_PROBABILITY = 0.995

_TOTAL_RATE = ONSET_PER_S + RECOVERY_PER_S
LONG_RUN_PROBABILITY = ONSET_PER_S / _TOTAL_RATE


def decay_probability(probability: float, elapsed_s: float) -> float:
    """Return the failure probability after a time without observations."""
    remaining = math.exp(-_TOTAL_RATE * max(0.0, elapsed_s))
    return LONG_RUN_PROBABILITY + (probability - LONG_RUN_PROBABILITY) * remaining


class FailureEstimate:
    """Probability that a server is failing, updated with each request outcome."""

    __slots__ = ("_probability", "_updated_at")

    def __init__(self, now: float) -> None:
        self._probability = LONG_RUN_PROBABILITY
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the probability that the server is failing at `now`."""
        return decay_probability(self._probability, now - self._updated_at)

    def observe(self, failed: bool, now: float) -> None:
        """Update the estimate with the outcome of one request."""
        prior = self.read(now)
        if failed:
            likelihood_if_failing, likelihood_if_healthy = (
                FAILURE_RATE_WHEN_FAILING,
                FAILURE_RATE_WHEN_HEALTHY,
            )
        else:
            likelihood_if_failing, likelihood_if_healthy = (
                1 - FAILURE_RATE_WHEN_FAILING,
                1 - FAILURE_RATE_WHEN_HEALTHY,
            )
        joint = prior * likelihood_if_failing
        posterior = joint / (joint + (1 - prior) * likelihood_if_healthy)
        self._probability = min(MAX_PROBABILITY, max(MIN_PROBABILITY, posterior))
        self._updated_at = now
