"""Test one server's real work sequentially for failures and slowness."""

import math
from collections import deque
from collections.abc import Hashable

from flamingobank.health.cusum import FAILURE_LLR, SLOW_LLR, Cusum
from flamingobank.health.evidence import (
    DEFAULT_BASELINE,
    FAILURE_RATE_FLOOR,
    SLOW_RATE_FLOOR,
    Assessment,
    Baseline,
    Cause,
    Condition,
    ServerSummary,
    WorkOutcome,
    clamp_rate,
)

# Work that runs longer than this many times its route's expectation is slow. A
# lower factor meets the ordinary spread of work, a higher one delays detection: 3.5
# leaves a median of 0.49 s for a server ten times slower, against 0.44 s at 3.0.
SLOW_FACTOR = 3.25
# Work between this factor and SLOW_FACTOR is no evidence either way: work that was
# in progress when a server slowed down often ends there.
FAST_FACTOR = 1.5
# Log ratios are bounded so that one piece of very long work cannot outweigh the
# rest of a summary.
LOG_RATIO_BOUND = math.log(16.0)
RECENT_OUTCOMES = 256
# A summary covers at least this many outcomes, so that it also holds work from
# before a sudden change and a chance run weighs less.
SUMMARY_OUTCOMES_MIN = 12
# It covers at most this many: a peer that does twice the work must still remember
# the whole window (RECENT_OUTCOMES), or the two would cover different times.
SUMMARY_OUTCOMES_MAX = 100
SUMMARY_WINDOW_MAX_S = 60.0
# A longer time without any call means that the home was paused.
CALL_GAP_MAX_S = 1.5
# Score from which a server is in doubt: about two failures in short order.
UNDECIDED_LLR = 7.0
EXPECTED_MIN_S = 0.001
DEFAULT_EXPECTED_S = 0.05

_FAILED_OUTCOMES = frozenset((WorkOutcome.FAILED, WorkOutcome.TIMED_OUT))
_IGNORED_OUTCOMES = frozenset((WorkOutcome.SHED, WorkOutcome.UNREACHABLE))


class _OpenWork:
    """Hold the start of work in progress and whether it already counts as slow."""

    __slots__ = ("expected_s", "slow_at", "started_at")

    def __init__(self, expected_s: float, now: float) -> None:
        self.expected_s = expected_s
        self.started_at = now
        self.slow_at = now + SLOW_FACTOR * expected_s


class ServerHealth:
    """Judge one server by its real work; lives on the server's home."""

    __slots__ = (
        "_baseline",
        "_clock_jumped",
        "_failure_cusum",
        "_last_call_at",
        "_open_work",
        "_recent_outcomes",
        "_slow_cusum",
    )

    def __init__(self, now: float = 0.0) -> None:
        self._baseline = DEFAULT_BASELINE
        self._failure_cusum = Cusum(FAILURE_RATE_FLOOR)
        self._slow_cusum = Cusum(SLOW_RATE_FLOOR)
        self._open_work: dict[Hashable, _OpenWork] = {}
        self._recent_outcomes: deque[tuple[float, bool, bool, float]] = deque(
            maxlen=RECENT_OUTCOMES
        )
        self._last_call_at = now
        self._clock_jumped = False

    def start(self, request: Hashable, expected_s: float, now: float) -> None:
        """Note that work was sent to the server; expected_s is its route's."""
        self._check_clock(now)
        if not EXPECTED_MIN_S <= expected_s < math.inf:
            expected_s = DEFAULT_EXPECTED_S
        self._open_work[request] = _OpenWork(expected_s, now)

    def record(
        self,
        outcome: WorkOutcome,
        latency_s: float,
        now: float,
        request: Hashable = None,
        expected_s: float = DEFAULT_EXPECTED_S,
    ) -> None:
        """Add the end of work; expected_s is only used for unknown requests."""
        self._check_clock(now)
        work = self._open_work.pop(request, None)
        already_counted = False
        if work is not None:
            expected_s = work.expected_s
            already_counted = work.slow_at == math.inf
        if outcome in _IGNORED_OUTCOMES:
            return
        ratio = latency_s / expected_s if expected_s > 0.0 else 1.0
        if not 0.0 < ratio < math.inf:
            ratio = 1.0
        slow = ratio > SLOW_FACTOR
        fast = ratio <= FAST_FACTOR and outcome is not WorkOutcome.CANCELLED
        if not already_counted and (slow or fast):
            self._slow_cusum.add(slow, now)
        if outcome is WorkOutcome.CANCELLED:
            return
        failed = outcome in _FAILED_OUTCOMES
        self._failure_cusum.add(failed, now)
        log_ratio = math.log(ratio)
        bounded = min(max(log_ratio, -LOG_RATIO_BOUND), LOG_RATIO_BOUND)
        self._recent_outcomes.append((now, failed, slow, bounded))

    def assess(self, baseline: Baseline, now: float) -> Assessment:
        """Return the condition under the baseline in force."""
        self._check_clock(now)
        if baseline.deadline <= now:
            baseline = DEFAULT_BASELINE
        if baseline != self._baseline:
            self._set_baseline(baseline)
        self._count_overdue_work(now)
        failures, slow = self._failure_cusum.score, self._slow_cusum.score
        score = max(failures, slow)
        if failures >= FAILURE_LLR:
            return Assessment(Condition.SUSPECT, score, Cause.FAILURES)
        if slow >= SLOW_LLR:
            return Assessment(Condition.SUSPECT, score, Cause.LATENCY)
        cause = Cause.CLOCK_JUMP if self._clock_jumped else Cause.NONE
        self._clock_jumped = False
        return Assessment(Condition.HEALTHY, score, cause)

    def is_undecided(self) -> bool:
        """Tell whether a few more outcomes may decide about the server.

        A decision takes a number of outcomes, not a time. Idempotent work that is
        sent here first harms no more requests and finds the fault sooner.
        """
        return max(self._failure_cusum.score, self._slow_cusum.score) >= UNDECIDED_LLR

    def summarize(self, now: float, window_s: float | None = None) -> ServerSummary:
        """Sum up recent work, over the asker's window or the suspicion's own."""
        window_s = self._choose_window(now) if window_s is None else window_s
        if not 0.0 < window_s <= SUMMARY_WINDOW_MAX_S:
            window_s = SUMMARY_WINDOW_MAX_S
        n = failures = slow_count = 0
        log_sum = log_squares = 0.0
        for at, failed, slow, log_ratio in reversed(self._recent_outcomes):
            if at < now - window_s:
                break
            n += 1
            failures += failed
            slow_count += slow
            log_sum += log_ratio
            log_squares += log_ratio * log_ratio
        for work in self._open_work.values():
            ratio = (now - work.started_at) / work.expected_s
            if ratio <= SLOW_FACTOR:
                continue
            log_ratio = min(math.log(ratio), LOG_RATIO_BOUND)
            n += 1
            slow_count += 1
            log_sum += log_ratio
            log_squares += log_ratio * log_ratio
        return ServerSummary(n, failures, slow_count, log_sum, log_squares, window_s)

    def reset(self, now: float) -> None:
        """Forget evidence, for a server that starts again or is readmitted."""
        self._failure_cusum.score = 0.0
        self._slow_cusum.score = 0.0
        self._recent_outcomes.clear()
        self._restart_open_work(now)

    def _set_baseline(self, baseline: Baseline) -> None:
        """Start a test over when its rate changes: such scores do not add up."""
        old = self._baseline
        self._baseline = baseline
        if baseline.failure_rate != old.failure_rate:
            self._failure_cusum.set_rate(
                clamp_rate(baseline.failure_rate, FAILURE_RATE_FLOOR)
            )
        if baseline.slow_rate != old.slow_rate:
            self._slow_cusum.set_rate(clamp_rate(baseline.slow_rate, SLOW_RATE_FLOOR))

    def _count_overdue_work(self, now: float) -> None:
        """Count open work as slow once, when it has become slow."""
        for work in self._open_work.values():
            if work.slow_at <= now:
                self._slow_cusum.add(True, work.slow_at)
                work.slow_at = math.inf

    def _choose_window(self, now: float) -> float:
        since = now
        for cusum in (self._failure_cusum, self._slow_cusum):
            if cusum.score > 0.0:
                since = min(since, cusum.rise_started_at)
        window_s = 2.0 * (now - since)
        recent = self._recent_outcomes
        if recent:
            size = len(recent)
            shortest_s = now - recent[-min(SUMMARY_OUTCOMES_MIN, size)][0]
            longest_s = now - recent[-min(SUMMARY_OUTCOMES_MAX, size)][0]
            window_s = min(max(window_s, shortest_s), longest_s)
        return min(max(window_s, 0.05), SUMMARY_WINDOW_MAX_S)

    def _check_clock(self, now: float) -> None:
        """Age open work anew after a pause: the home stood still, not the server."""
        step = now - self._last_call_at
        self._last_call_at = now
        if 0.0 <= step <= CALL_GAP_MAX_S:
            return
        if not self._open_work and step >= 0.0:
            return
        self._clock_jumped = True
        if step < 0.0:
            self._recent_outcomes.clear()
        self._restart_open_work(now)

    def _restart_open_work(self, now: float) -> None:
        for work in self._open_work.values():
            work.started_at = now
            if work.slow_at != math.inf:
                work.slow_at = now + SLOW_FACTOR * work.expected_s
