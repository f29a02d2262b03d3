"""Detect failures and slowness of one server from the work that it runs."""

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

# Work is slow if it takes more than this many times the expected time of its route.
# A lower factor flags ordinary variation as slow; a higher one delays detection. For
# a server ten times slower, the median detection time is 0.49 s at a factor of 3.5
# and 0.44 s at 3.0.
SLOW_FACTOR = 3.25
# Work that takes between this factor and SLOW_FACTOR counts neither as fast nor as
# slow, because work in progress when a server slows down often ends in this range.
FAST_FACTOR = 1.5
# Bound of the log latency ratio, so that a single very long piece of work does not
# dominate a summary.
LOG_RATIO_BOUND = math.log(16.0)
RECENT_OUTCOMES = 256
# A summary covers at least this many outcomes, so that it includes work from before
# a sudden change and a random run of failures has less weight.
SUMMARY_OUTCOMES_MIN = 12
# A summary covers at most this many outcomes. Its time window is also used for the
# summaries of the peers. A peer that does twice as much work must still hold that
# window in its last RECENT_OUTCOMES; otherwise the summaries would cover different
# periods.
SUMMARY_OUTCOMES_MAX = 100
SUMMARY_WINDOW_MAX_S = 60.0
# A longer time between two calls means that the home process was paused.
CALL_GAP_MAX_S = 1.5
# Score at which a server counts as undecided, reached by about two failures in quick
# succession.
UNDECIDED_LLR = 7.0
EXPECTED_MIN_S = 0.001
DEFAULT_EXPECTED_S = 0.05

_FAILED_OUTCOMES = frozenset((WorkOutcome.FAILED, WorkOutcome.TIMED_OUT))
_IGNORED_OUTCOMES = frozenset((WorkOutcome.SHED, WorkOutcome.UNREACHABLE))


class _OpenWork:
    """Work in progress on a server.

    slow_at is infinite once the work has been counted as slow.
    """

    __slots__ = ("expected_s", "slow_at", "started_at")

    def __init__(self, expected_s: float, now: float) -> None:
        self.expected_s = expected_s
        self.started_at = now
        self.slow_at = now + SLOW_FACTOR * expected_s


class ServerHealth:
    """Failure and slowness detector of one server, kept by the server's home."""

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
        """Register work sent to the server; expected_s comes from its route."""
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
        """Record the outcome of work.

        expected_s is used only if start() was not called for the request.
        """
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
        """Return the server's condition, tested against a baseline.

        DEFAULT_BASELINE is used if the deadline of the given baseline has passed.
        """
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
        """Return whether the score is high enough that a few more outcomes may decide.

        A fault is confirmed by a certain number of outcomes, however long they take.
        Sending idempotent work to this server first therefore finds a fault sooner, and
        no more requests fail in total.
        """
        return max(self._failure_cusum.score, self._slow_cusum.score) >= UNDECIDED_LLR

    def summarize(self, now: float, window_s: float | None = None) -> ServerSummary:
        """Return statistics of recent work.

        window_s is the window of the requesting home. Without it, the window is chosen
        as twice the time since the scores of this server began to rise.
        """
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
        """Discard all evidence, after a restart or the readmission of the server."""
        self._failure_cusum.score = 0.0
        self._slow_cusum.score = 0.0
        self._recent_outcomes.clear()
        self._restart_open_work(now)

    def _set_baseline(self, baseline: Baseline) -> None:
        """Set the baseline and reset each test whose rate changes.

        Scores that were computed from different baseline rates cannot be added.
        """
        old = self._baseline
        self._baseline = baseline
        if baseline.failure_rate != old.failure_rate:
            self._failure_cusum.set_rate(
                clamp_rate(baseline.failure_rate, FAILURE_RATE_FLOOR)
            )
        if baseline.slow_rate != old.slow_rate:
            self._slow_cusum.set_rate(clamp_rate(baseline.slow_rate, SLOW_RATE_FLOOR))

    def _count_overdue_work(self, now: float) -> None:
        """Count open work that exceeds its limit as slow, each piece only once."""
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
        """Restart the timers of open work after a pause or a clock jump of the home.

        Time that passed while the home did not run is no evidence against the server.
        """
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
