"""Model of servers that complete requests, fail or crash."""

from collections.abc import Callable

from benchmarks.events import EventQueue
from benchmarks.service_model.requests import ModelAttempt
from flamingobank.core import Disposition, InstanceId

SLOTS = 4
CRASH_AFTER_SHARE = 0.5
RESTART_S = 5.0

OnEnd = Callable[[ModelAttempt, Disposition], None]


class ModelServer:
    """Server that runs attempts; its home counts the slots in use."""

    def __init__(self, instance: InstanceId, events: EventQueue) -> None:
        self.instance = instance
        self.failing = False
        self.up = True
        self.boot = 0
        self.crashes = 0
        self.running: dict[ModelAttempt, OnEnd] = {}
        self.on_crash: Callable[[ModelServer, list[ModelAttempt]], None] | None = None
        self.on_restart: Callable[[ModelServer], None] | None = None
        self._events = events

    def run(self, attempt: ModelAttempt, on_end: OnEnd) -> None:
        """Run an attempt; a failing server returns an error after the usual time."""
        request = attempt.request
        request.ran_on.append(self.instance)
        self.running[attempt] = on_end
        if request.poison:
            delay_s = CRASH_AFTER_SHARE * request.run_s
            self._events.call_after(delay_s, lambda: self._crash(attempt))
            return
        self._events.call_after(request.run_s, lambda: self._end(attempt))

    def _end(self, attempt: ModelAttempt) -> None:
        on_end = self.running.pop(attempt, None)
        if on_end is None:
            return
        on_end(attempt, Disposition.UNKNOWN if self.failing else Disposition.DONE)

    def _crash(self, crashing: ModelAttempt) -> None:
        if crashing not in self.running:
            return
        lost = self.running
        self.running = {}
        self.up = False
        self.crashes += 1
        self._events.call_after(RESTART_S, self._restart)
        if self.on_crash is not None:
            self.on_crash(self, list(lost))
        for attempt, on_end in lost.items():
            on_end(attempt, Disposition.UNKNOWN)

    def _restart(self) -> None:
        self.up = True
        self.boot += 1
        if self.on_restart is not None:
            self.on_restart(self)
