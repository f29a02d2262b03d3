"""Models of a home: one with the product's admission, one with a FIFO queue."""

import abc
from collections import deque

from benchmarks.events import EventQueue
from benchmarks.service_model.gossip import CrashGossip
from benchmarks.service_model.requests import ModelAttempt, ModelReply
from benchmarks.service_model.servers import SLOTS, ModelServer
from flamingobank.admission import AdmissionQueue, Admitted, StartOutcome, Work
from flamingobank.core import Disposition, InstanceId, RefusalCause, ServiceName
from flamingobank.quarantine import CrashId, CrashReport
from flamingobank.retries import RetryBudget, admit_attempt


class ModelHome(abc.ABC):
    """Home that dispatches attempts to its share of the servers."""

    def __init__(self, events: EventQueue, servers: list[ModelServer]) -> None:
        self.events = events
        self.servers = {server.instance: server for server in servers}
        for server in servers:
            server.on_crash = self.handle_crash
            server.on_restart = self.handle_restart

    @abc.abstractmethod
    def receive(self, attempt: ModelAttempt) -> None:
        """Accept an attempt from an entry; reply when it ends or is refused."""

    @abc.abstractmethod
    def handle_crash(self, server: ModelServer, lost: list[ModelAttempt]) -> None:
        """Handle a server crash; called before the lost attempts end."""

    @abc.abstractmethod
    def handle_restart(self, server: ModelServer) -> None:
        """Handle a server that announces itself after a restart."""


class NaiveHome(ModelHome):
    """Start attempts in order of arrival, on any server with a free slot."""

    def __init__(self, events: EventQueue, servers: list[ModelServer]) -> None:
        super().__init__(events, servers)
        self._queue: deque[ModelAttempt] = deque()
        self._in_use = {server.instance: 0 for server in servers}

    def receive(self, attempt: ModelAttempt) -> None:
        self._queue.append(attempt)
        self._dispatch()

    def handle_crash(self, server: ModelServer, lost: list[ModelAttempt]) -> None:
        return None

    def handle_restart(self, server: ModelServer) -> None:
        self._dispatch()

    def _dispatch(self) -> None:
        while self._queue:
            free = [
                instance
                for instance, in_use in self._in_use.items()
                if in_use < SLOTS and self.servers[instance].up
            ]
            if not free:
                return
            instance = min(free, key=self._in_use.get)
            self._in_use[instance] += 1
            attempt = self._queue.popleft()
            self.servers[instance].run(
                attempt,
                lambda ended, disposition, instance=instance: self._end(
                    ended, disposition, instance
                ),
            )

    def _end(
        self, attempt: ModelAttempt, disposition: Disposition, instance: InstanceId
    ) -> None:
        self._in_use[instance] -= 1
        attempt.on_reply(ModelReply(disposition))
        self._dispatch()


class ProductHome(ModelHome):
    """Start attempts by the rules of the admission queue and the crash ledger."""

    def __init__(
        self, events: EventQueue, servers: list[ModelServer], gossip: CrashGossip
    ) -> None:
        super().__init__(events, servers)
        self.gossip = gossip
        self._queue = AdmissionQueue(ServiceName("model"))
        self._budget = RetryBudget()
        self._attempts: dict[str, ModelAttempt] = {}
        # The suspect request in flight on each server, at most one per server.
        self._suspects: dict[InstanceId, Work] = {}
        # Crash reports to send with the reply, so that the entry has them before it
        # decides on a retry.
        self._crashes: dict[ModelAttempt, CrashReport] = {}
        self._wakeup_s = float("inf")
        for server in servers:
            self._queue.set_server(server.instance, SLOTS)

    def receive(self, attempt: ModelAttempt) -> None:
        now = self.events.clock.now()
        if self._is_quarantined(attempt):
            self._reply(attempt, Disposition.NOT_RUN, RefusalCause.QUARANTINED)
            return
        refusal = admit_attempt(attempt.work, self._budget, now)
        if refusal is None:
            refusal = self._queue.offer(attempt.work, now)
        if not isinstance(refusal, Admitted):
            self._reply(attempt, refusal.disposition, refusal.reason)
            return
        self._attempts[attempt.work.request_id] = attempt
        self._dispatch()

    def handle_crash(self, server: ModelServer, lost: list[ModelAttempt]) -> None:
        self._queue.remove_server(server.instance)
        crash_id = CrashId(f"{server.instance}/{server.boot}")
        for attempt in lost:
            report = CrashReport(attempt.request.fingerprint, server.instance, crash_id)
            self._crashes[attempt] = report
            self.gossip.report(report)

    def handle_restart(self, server: ModelServer) -> None:
        self._queue.set_server(server.instance, SLOTS)
        self._dispatch()

    def _dispatch(self) -> None:
        now = self.events.clock.now()
        while (taken := self._queue.take(now)) is not None:
            attempt = self._attempts[taken.work.request_id]
            if self._is_quarantined(attempt):
                self._queue.cancel(taken.work.request_id, now)
                self._reply(attempt, Disposition.NOT_RUN, RefusalCause.QUARANTINED)
                continue
            instance = self._choose_server(attempt, taken.servers)
            if instance is None:
                self._queue.put_back(taken.work, now)
                break
            outcome = self._queue.start(taken.work, instance, now)
            assert outcome is StartOutcome.STARTED, outcome
            self.servers[instance].run(attempt, self._end)
        for refused in self._queue.expire(now):
            attempt = self._attempts[refused.work.request_id]
            self._reply(attempt, refused.refusal.disposition, refused.refusal.reason)
        self._schedule_wakeup()

    def _choose_server(
        self, attempt: ModelAttempt, servers: tuple[InstanceId, ...]
    ) -> InstanceId | None:
        """Return a server for the attempt, or None if it has to wait.

        A server runs at most one suspect request at a time, so that a second crash
        identifies its cause.
        """
        if not self._is_suspect(attempt):
            return servers[0]
        for instance in servers:
            if instance not in self._suspects:
                self._suspects[instance] = attempt.work
                return instance
        return None

    def _end(self, attempt: ModelAttempt, disposition: Disposition) -> None:
        now = self.events.clock.now()
        done = disposition is Disposition.DONE
        self._queue.finish(attempt.work, now, completed=done)
        for instance, work in list(self._suspects.items()):
            if work is attempt.work:
                del self._suspects[instance]
        if done:
            self.gossip.report_completion(attempt.request.fingerprint)
        # Waiting work is dispatched before the reply, so that the load in the reply
        # does not count the slots that this work takes as free.
        self._dispatch()
        self._reply(attempt, disposition)

    def _reply(
        self,
        attempt: ModelAttempt,
        disposition: Disposition,
        reason: RefusalCause | None = None,
    ) -> None:
        self._attempts.pop(attempt.work.request_id, None)
        load = self._queue.measure_load(self.events.clock.now())
        crash = self._crashes.pop(attempt, None)
        attempt.on_reply(ModelReply(disposition, reason, load, crash))

    def _is_quarantined(self, attempt: ModelAttempt) -> bool:
        return self.gossip.is_quarantined(attempt.request.fingerprint)

    def _is_suspect(self, attempt: ModelAttempt) -> bool:
        # A crash report may still be in transit when a failed request is retried.
        if attempt.work.attempt > 0:
            return True
        return self.gossip.is_suspect(attempt.request.fingerprint)

    def _schedule_wakeup(self) -> None:
        wakeup_s = self._queue.get_next_wakeup()
        if wakeup_s >= self._wakeup_s or wakeup_s == float("inf"):
            return
        self._wakeup_s = wakeup_s
        self.events.call_at(wakeup_s, self._wake)

    def _wake(self) -> None:
        self._wakeup_s = float("inf")
        self._dispatch()
