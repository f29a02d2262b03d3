"""Hold what a home believes of its server: if it works, how fast, if it is up."""

from flamingobank.sidecar.decisions.failure_estimate import FailureEstimate
from flamingobank.sidecar.decisions.offer_admission import (
    FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY,
    SUSPECT_FAILURE_PROBABILITY,
)

# Until the first answers, work is taken to last this long.
INITIAL_DURATION_S = 0.2
DURATION_SMOOTHING = 0.1
INITIAL_DOWN_S = 0.15
MAX_DOWN_S = 1.0


class ServerEstimate:
    """Learn from the outcomes of one server's work."""

    def __init__(self, now: float) -> None:
        self.trusted = True
        self.mean_duration_s = INITIAL_DURATION_S
        self._failure_estimate = FailureEstimate(now)
        self._down_until = 0.0
        self._down_s = INITIAL_DOWN_S

    def read_failure_probability(self, now: float) -> float:
        """Return the probability that the server fails work now."""
        return self._failure_estimate.read(now)

    def is_down(self, now: float) -> bool:
        """Tell whether the server could not be reached just now."""
        return now < self._down_until

    def observe(self, failed: bool, now: float) -> bool:
        """Learn from one outcome; tell whether the judgement changed."""
        self._failure_estimate.observe(failed, now)
        failure_probability = self._failure_estimate.read(now)
        before = self.trusted
        # Two thresholds, so that an estimate near one of them is not pushed to and fro.
        if failure_probability > SUSPECT_FAILURE_PROBABILITY:
            self.trusted = False
        elif failure_probability < FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY:
            self.trusted = True
        return self.trusted is not before

    def note_answer(self, took_s: float, succeeded: bool) -> None:
        """Learn from a complete answer that the server is up and how long it took."""
        self._down_s = INITIAL_DOWN_S
        if succeeded:
            self.mean_duration_s += DURATION_SMOOTHING * (took_s - self.mean_duration_s)

    def mark_down(self, now: float) -> None:
        """Keep work away for a while that grows with each time in a row."""
        self._down_until = now + self._down_s
        self._down_s = min(MAX_DOWN_S, self._down_s * 2)

    def reset(self, now: float) -> None:
        """Drop what was believed of an earlier start of the server."""
        self._failure_estimate = FailureEstimate(now)
        self.trusted = True
        self._down_until = 0.0
        self._down_s = INITIAL_DOWN_S
