"""Simulated servers and demand of the detection benchmark."""

import random
from collections.abc import Callable

from benchmarks.events import EventQueue

SERVERS = 17
SLOTS = 4
LOAD = 0.6
EXPECTED_S = 0.11
REQUESTS_PER_S = SERVERS * SLOTS * LOAD / EXPECTED_S
BACKGROUND_FAILURES = 0.01
# Standard deviation of the log duration of ordinary work.
LOG_DURATION_SIGMA = 0.4
# This share of work takes LONG_FACTOR times the expected time.
LONG_SHARE = 0.001
LONG_FACTOR = 30.0
# The default deadline of a route.
DEADLINE_S = 10.0


def draw_work_s(rng: random.Random) -> float:
    """Draw the duration of a piece of work on a server at full speed."""
    if rng.random() < LONG_SHARE:
        return EXPECTED_S * LONG_FACTOR
    return EXPECTED_S * rng.lognormvariate(
        -LOG_DURATION_SIGMA * LOG_DURATION_SIGMA / 2.0, LOG_DURATION_SIGMA
    )


class RunningWork:
    """Work in progress on a server."""

    __slots__ = ("done", "failed", "left_s", "since", "version")

    def __init__(self, left_s: float, failed: bool, now: float, done) -> None:
        self.left_s = left_s
        self.failed = failed
        self.since = now
        self.done: Callable[[bool], None] = done
        self.version = 0


class SimServer:
    """Simulated server; a fault also affects work that is already in progress."""

    def __init__(self, events: EventQueue, rng: random.Random) -> None:
        self._events = events
        self._rng = rng
        self.speed = 1.0
        self.fail_share = 0.0
        self.background = BACKGROUND_FAILURES
        # Whether failing work stops at a random point instead of at its end.
        self.breaks_off = True
        # Whether answers and acknowledgements reach the home, and whether connections
        # from the home reach the server.
        self.answers = True
        self.reachable = True
        self.injected_failures = 0
        self.running: set[RunningWork] = set()
        self.lost: list[Callable[[], None]] = []

    def start(self, work_s: float, done: Callable[[bool], None]) -> RunningWork:
        """Start work; done(failed) is called when it ends."""
        background = self._rng.random() < self.background
        work = RunningWork(work_s, background, self._events.clock.now(), done)
        if not background:
            self._maybe_fail(work)
        self.running.add(work)
        self._schedule(work)
        return work

    def cancel(self, work: RunningWork) -> None:
        """Stop work that its caller has given up."""
        work.version += 1
        self.running.discard(work)

    def set_fault(self, speed: float = 1.0, fail_share: float = 0.0) -> None:
        """Change the speed and the share of failures, also for work in progress."""
        now = self._events.clock.now()
        for work in self.running:
            work.left_s = max(0.0, work.left_s - (now - work.since) * self.speed)
            work.since = now
        self.speed = speed
        self.fail_share = fail_share
        # Sorted, because the order of a set of objects differs between runs.
        for work in sorted(self.running, key=lambda item: item.left_s):
            self._maybe_fail(work)
            self._schedule(work)

    def set_path(self, reachable: bool, answers: bool) -> None:
        """Break or restore the path to the server.

        Answers that were held back are delivered once the path is restored.
        """
        self.reachable, self.answers = reachable, answers
        if answers:
            lost, self.lost = self.lost, []
            for done in lost:
                done()

    def _maybe_fail(self, work: RunningWork) -> None:
        if not self.fail_share or self._rng.random() >= self.fail_share:
            return
        work.failed = True
        self.injected_failures += 1
        if self.breaks_off:
            work.left_s *= self._rng.random()

    def _schedule(self, work: RunningWork) -> None:
        work.version += 1
        version = work.version
        self._events.call_after(
            work.left_s / self.speed, lambda: self._finish(work, version)
        )

    def _finish(self, work: RunningWork, version: int) -> None:
        if work.version != version:
            return
        self.running.discard(work)
        if not self.answers:
            self.lost.append(lambda: work.done(work.failed))
            return
        work.done(work.failed)


class Demand:
    """Generates requests at a variable rate."""

    def __init__(
        self, events: EventQueue, rng: random.Random, offer: Callable[[], None]
    ) -> None:
        self._events = events
        self._rng = rng
        self._offer = offer
        self.factor = 1.0
        self.offered = 0
        self._schedule()

    def _schedule(self) -> None:
        gap_s = self._rng.expovariate(REQUESTS_PER_S * self.factor)
        self._events.call_after(gap_s, self._arrive)

    def _arrive(self) -> None:
        self.offered += 1
        self._offer()
        self._schedule()
