"""Models of an entry: one with the product's rules, one with immediate retries."""

import abc
import itertools
import random

from benchmarks.events import EventQueue
from benchmarks.service_model.gossip import CrashGossip
from benchmarks.service_model.homes import ModelHome
from benchmarks.service_model.requests import (
    ModelAttempt,
    ModelReply,
    Request,
    RequestOutcome,
)
from flamingobank.admission import ServiceLoad
from flamingobank.core import Disposition, RefusalCause
from flamingobank.retries import (
    RetryBudget,
    RetryDecision,
    decide_retry,
    merge_dispositions,
)

HOP_DELAY_S = 0.001
LOAD_EXPIRY_S = 2.0
NAIVE_ATTEMPTS = 4
# A naive entry times an attempt out after this share of the request's time limit.
NAIVE_TIMEOUT_SHARE = 0.5


class ModelEntry(abc.ABC):
    """Entry that accepts requests from callers and sends them to homes."""

    def __init__(
        self, events: EventQueue, homes: list[ModelHome], rng: random.Random
    ) -> None:
        self.events = events
        self.homes = homes
        self.rng = rng
        self.attempts_sent = 0

    @abc.abstractmethod
    def accept(self, request: Request) -> None:
        """Serve a request; its outcome is set exactly once."""

    def send(self, request: Request, home: ModelHome, on_reply) -> None:
        """Send the next attempt to a home; request and reply take one hop each."""

        def deliver_reply(reply: ModelReply) -> None:
            self.events.call_after(HOP_DELAY_S, lambda: on_reply(reply))

        work = request.make_work(request.attempts)
        attempt = ModelAttempt(request, work, deliver_reply)
        request.attempts += 1
        self.attempts_sent += 1
        self.events.call_after(HOP_DELAY_S, lambda: home.receive(attempt))

    def end(self, request: Request, outcome: RequestOutcome) -> None:
        """Record the outcome for the caller, unless it already has one."""
        if request.outcome is not RequestOutcome.WAITING:
            return
        request.outcome = outcome
        request.finished_s = self.events.clock.now()


class NaiveEntry(ModelEntry):
    """Use the homes round robin; retry immediately after an error or timeout."""

    def __init__(
        self, events: EventQueue, homes: list[ModelHome], rng: random.Random
    ) -> None:
        super().__init__(events, homes, rng)
        self._next_homes = itertools.cycle(homes)

    def accept(self, request: Request) -> None:
        self._try(request)

    def _try(self, request: Request) -> None:
        failures: list[bool] = []
        timeout_s = NAIVE_TIMEOUT_SHARE * (request.deadline_s - request.arrival_s)

        def handle_result(done: bool) -> None:
            if request.outcome is not RequestOutcome.WAITING:
                return
            if done:
                self.end(request, RequestOutcome.DONE)
                return
            if failures:
                return
            failures.append(True)
            self._handle_failure(request)

        self.send(
            request,
            next(self._next_homes),
            lambda reply: handle_result(reply.disposition is Disposition.DONE),
        )
        self.events.call_after(timeout_s, lambda: handle_result(False))

    def _handle_failure(self, request: Request) -> None:
        late = self.events.clock.now() >= request.deadline_s
        if late or request.attempts >= NAIVE_ATTEMPTS or not request.idempotent:
            self.end(request, RequestOutcome.FAILED)
            return
        self._try(request)


class ProductEntry(ModelEntry):
    """Choose the less loaded of two random homes; retry within the budget."""

    def __init__(
        self,
        events: EventQueue,
        homes: list[ModelHome],
        rng: random.Random,
        gossip: CrashGossip,
    ) -> None:
        super().__init__(events, homes, rng)
        self._gossip = gossip
        self._budget = RetryBudget()
        self._loads: dict[ModelHome, tuple[ServiceLoad, float]] = {}
        # Attempts sent since a home last reported its load, which excludes them.
        self._sent_since = dict.fromkeys(homes, 0)

    def accept(self, request: Request) -> None:
        self._budget.earn(self.events.clock.now())
        self._try(request, Disposition.NOT_RUN, None)

    def _try(
        self, request: Request, earlier: Disposition, avoid: ModelHome | None
    ) -> None:
        if self._gossip.is_quarantined(request.fingerprint):
            request.reason = RefusalCause.QUARANTINED
            self._give_up(request, earlier)
            return
        home = self._choose_home(avoid)
        self._sent_since[home] += 1
        self.send(
            request, home, lambda reply: self._handle(request, earlier, home, reply)
        )

    def _handle(
        self, request: Request, earlier: Disposition, home: ModelHome, reply: ModelReply
    ) -> None:
        now = self.events.clock.now()
        self._loads[home] = (reply.load, now)
        self._sent_since[home] = 0
        if reply.crash is not None:
            self._gossip.receive(reply.crash)
        merged = merge_dispositions(earlier, reply.disposition)
        if merged is Disposition.DONE:
            self.end(request, RequestOutcome.DONE)
            return
        request.reason = reply.reason
        work = request.make_work(request.attempts - 1)
        decision = RetryDecision.NO_BUDGET
        if reply.reason is not RefusalCause.QUARANTINED:
            decision = decide_retry(work, merged, request.arrival_s, self._budget, now)
        if decision is RetryDecision.RETRY:
            self._try(request, merged, home)
            return
        self._give_up(request, merged)

    def _give_up(self, request: Request, earlier: Disposition) -> None:
        not_run = earlier is Disposition.NOT_RUN
        self.end(request, RequestOutcome.NOT_RUN if not_run else RequestOutcome.FAILED)

    def _choose_home(self, avoid: ModelHome | None) -> ModelHome:
        choices = [home for home in self.homes if home is not avoid] or self.homes
        pair = self.rng.sample(choices, min(2, len(choices)))
        return min(pair, key=self._rank_home)

    def _rank_home(self, home: ModelHome) -> tuple[float, int]:
        load, received_s = self._loads.get(home, (None, 0.0))
        if load is None or self.events.clock.now() - received_s > LOAD_EXPIRY_S:
            return 0.0, 0
        return load.queue_delay_s, self._sent_since[home] - load.free_slots
