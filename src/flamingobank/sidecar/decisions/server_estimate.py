"""Estimate a server's health, request duration and reachability at its home."""

from flamingobank.sidecar.decisions.failure_estimate import FailureEstimate
from flamingobank.sidecar.decisions.offer_admission import (
    FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY,
    SUSPECT_FAILURE_PROBABILITY,
)

# Mean request duration that is assumed for a server before its first successful answer.
INITIAL_DURATION_S = 0.2
DURATION_SMOOTHING = 0.1
INITIAL_DOWN_S = 0.15
MAX_DOWN_S = 1.0


class ServerEstimate:
    """Estimates of one server, computed from the outcomes of its requests."""

    def __init__(self, now: float) -> None:
        self.trusted = True
        self.mean_duration_s = INITIAL_DURATION_S
        self._failure_estimate = FailureEstimate(now)
        self._down_until = 0.0
        self._down_s = INITIAL_DOWN_S

    def read_failure_probability(self, now: float) -> float:
        """Return the probability that the server is failing at `now`."""
        return self._failure_estimate.read(now)

    def is_down(self, now: float) -> bool:
        """Return whether the server is marked down after it could not be reached."""
        return now < self._down_until

    def observe(self, failed: bool, now: float) -> bool:
        """Update the estimate with one outcome; return whether `trusted` changed."""
        self._failure_estimate.observe(failed, now)
        failure_probability = self._failure_estimate.read(now)
        before = self.trusted
        # Two thresholds, so that small changes of an estimate near one of them do not
        # change `trusted` back and forth.
        if failure_probability > SUSPECT_FAILURE_PROBABILITY:
            self.trusted = False
        elif failure_probability < FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY:
            self.trusted = True
        return self.trusted is not before

    def note_answer(self, took_s: float, succeeded: bool) -> None:
        """Record that the server is up, which a complete answer shows.

        The next mark_down() starts again at INITIAL_DOWN_S. The mean duration is
        learned from successful answers only.
        """
        self._down_s = INITIAL_DOWN_S
        if succeeded:
            self.mean_duration_s += DURATION_SMOOTHING * (took_s - self.mean_duration_s)

    def mark_down(self, now: float) -> None:
        """Mark the server down for a time that doubles with each consecutive call."""
        self._down_until = now + self._down_s
        self._down_s = min(MAX_DOWN_S, self._down_s * 2)

    def reset(self, now: float) -> None:
        """Discard all estimates but the mean duration, for a newly started server."""
        self._failure_estimate = FailureEstimate(now)
        self.trusted = True
        self._down_until = 0.0
        self._down_s = INITIAL_DOWN_S
