"""Detect a raised event rate with a CUSUM test on boolean observations."""

import math

# CUSUM scores (log-likelihood ratios) at which a server becomes suspect. At a true
# rate equal to the default baseline, expect_false_alarms() gives 6.7e-10 false
# alarms per piece of work for failures and 1.3e-9 for slowness.
FAILURE_LLR = 19.0
# When a server with four slots becomes ten times slower, four overdue pieces of work
# are the only evidence until the first of them ends. At 18.4, four are just enough.
SLOW_LLR = 18.4


class Cusum:
    """Sequential test for a rate that has risen above its baseline."""

    __slots__ = ("hit_llr", "miss_llr", "rise_started_at", "score")

    def __init__(self, rate: float) -> None:
        self.score = 0.0
        self.rise_started_at = 0.0
        self.set_rate(rate)

    def set_rate(self, rate: float) -> None:
        """Set the baseline rate and reset the score.

        The alternative hypothesis is a rate half way between the baseline and one.
        It is chosen for a server that fails half of its work; a server that fails
        all of its work is detected sooner.
        """
        alternative_rate = 1.0 - (1.0 - rate) / 2.0
        self.hit_llr = math.log(alternative_rate / rate)
        self.miss_llr = math.log((1.0 - alternative_rate) / (1.0 - rate))
        self.score = 0.0

    def add(self, happened: bool, now: float) -> None:
        """Add one observation made at the time now, in seconds."""
        score = self.score
        if happened:
            if score <= 0.0:
                self.rise_started_at = now
            self.score = score + self.hit_llr
            return
        if score > 0.0:
            score += self.miss_llr
            self.score = score if score > 0.0 else 0.0

    def add_misses(self, count: int) -> None:
        """Add count observations without the event.

        Has the same effect as calling add(False, ...) count times.
        """
        self.score = max(0.0, self.score + count * self.miss_llr)


def expect_false_alarms(
    baseline_rate: float, true_rate: float, threshold: float
) -> float:
    """Return the exact expected number of false alarms per observation.

    Every alarm ends an excursion of the score above zero that began with a hit. The
    probabilities of all (hits, misses) pairs that an excursion can reach are summed.
    """
    test = Cusum(baseline_rate)
    reached = {(1, 0): true_rate}
    alarms = 0.0
    while reached:
        following: dict[tuple[int, int], float] = {}
        for (hits, misses), mass in reached.items():
            score = hits * test.hit_llr + misses * test.miss_llr
            if score >= threshold:
                alarms += mass
                continue
            if score <= 0.0 or mass < 1e-30:
                continue
            for key, share in (
                ((hits + 1, misses), true_rate),
                ((hits, misses + 1), 1.0 - true_rate),
            ):
                following[key] = following.get(key, 0.0) + mass * share
        reached = following
    return alarms
