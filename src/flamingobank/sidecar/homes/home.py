"""Run the requests of entries on the server of this machine.

All requests to the server pass through its home. The home tracks the server's slots,
estimates its health from request outcomes and keeps each outcome until the request's
deadline, so that an entry can still fetch it after its link broke.
"""

import math
from collections.abc import Callable

from flamingobank.core import Clock, RequestId, ServiceName
from flamingobank.loop import Timers
from flamingobank.sidecar.decisions.offer_admission import (
    SUSPECT_FAILURE_PROBABILITY,
    OfferDecision,
    OfferVerdict,
    decide_offer,
    decide_scheduled_offer,
)
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter
from flamingobank.sidecar.dialect import Dialect, ServerFacts
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.server_state import AnnouncedServer, Departure
from flamingobank.sidecar.homes.cost_scheduler import CostScheduler
from flamingobank.sidecar.homes.requests import (
    HomeRequest,
    HomeRequestOwner,
    HomeRequestState,
)
from flamingobank.sidecar.homes.run_history import RunHistory
from flamingobank.sidecar.homes.server_capacity import ServerCapacity
from flamingobank.sidecar.homes.server_client import (
    RunFailure,
    RunOutcome,
    ServerClient,
)
from flamingobank.sidecar.homes.server_health import ServerHealth
from flamingobank.sidecar.homes.server_notices import ServerNotices
from flamingobank.sidecar.links.messages import (
    Cancel,
    Commit,
    Failed,
    Granted,
    HomeReport,
    Message,
    Offer,
    Queued,
    RefusalReason,
    Refused,
    ReportPush,
    Resume,
    WindowUpdate,
)
from flamingobank.sidecar.metrics import SidecarMetrics

# Outcomes beyond this are forgotten before their deadlines, oldest first.
MAX_KEPT_OUTCOME_BYTES = 16 * 1_048_576
# Outcomes are forgotten down to this share of the limit at once, since the oldest are
# found by sorting all.
KEPT_OUTCOMES_SHARE = 0.875
SWEEP_INTERVAL_S = 0.2


class Home(HomeRequestOwner):
    """Admit offers of entries and run the granted requests on the local server."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        client: ServerClient,
        dialect: Dialect,
        event_log: EventLog,
        metrics: SidecarMetrics,
        list_channels: Callable[[], list],
        crashes: CrashReports,
        run_limiter: RepeatedRunLimiter,
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.client = client
        self.dialect = dialect
        self.server = AnnouncedServer()
        self.leaving = False
        self._ends_at = math.inf
        # Called when the server's own answer says that it leaves, before that answer is
        # passed on. Announced departures are handled where they arrive.
        self.on_server_left: Callable[[], None] = lambda: None
        self.requests: dict[tuple[str, int], HomeRequest] = {}
        self._run_history = RunHistory()
        self.run_limiter = run_limiter
        self._event_log = event_log
        self._metrics = metrics
        self._list_channels = list_channels
        self.health = ServerHealth(
            clock,
            client,
            self.server,
            crashes,
            event_log,
            metrics,
            self._push_report,
        )
        self.notices = ServerNotices(self.server, event_log)
        self.server_estimate = self.health.server_estimate
        # Offers are refused before this time, as departures that an earlier process
        # acknowledged may not have been received yet.
        self.serves_from = clock.now()
        self._capacity = ServerCapacity(self.server)
        self._waiting = self._capacity.waiting
        self._scheduler = CostScheduler(
            self._capacity, self.server_estimate, event_log, metrics
        )
        self._grant_timer = None
        self._sweep_scheduled = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is running, granted or waiting.

        A streamed answer runs until its last part has been sent to the entry.
        """
        if self._capacity.in_use or self._waiting:
            return False
        return all(request.is_sent for request in self.requests.values())

    def build_report(self) -> HomeReport:
        now = self.clock.now()
        current = self.server.current
        return HomeReport(
            current.service if current is not None else "",
            round(self.server_estimate.read_failure_probability(now), 3),
            self._capacity.count_reported(now),
            len(self._waiting),
            self._capacity.slots,
            self._accepts_work(now),
            *self._scheduler.describe_report(now),
        )

    def _accepts_work(self, now: float) -> bool:
        if self.leaving or self.server_estimate.is_down(now):
            return False
        return self.server.accepts_work

    def on_server_changed(self) -> None:
        """Apply the address and lifecycle state that the server last announced."""
        current = self.server.current
        if current is not None:
            self.client.set_server(current.address, current.instance)
        if not self.server.accepts_work:
            self._refuse_waiting()
        for request in self._waiting:
            # Refusing one may end others of them.
            is_waiting = request.state is HomeRequestState.WAITING
            if is_waiting and not self._serves(request.offer.service):
                self._refuse_request(request, RefusalReason.NO_SERVER)
        self._push_report()

    def on_new_instance(self) -> None:
        """Discard the estimates and notices of the previous server."""
        self.notices.reset()
        self._capacity.reset(self.clock.now())
        self.server_estimate.reset(self.clock.now())

    def leave(self, ends_at: float) -> None:
        """Refuse waiting requests and all further offers.

        Of the requests for slots that were granted before, those are started whose
        deadlines come before `ends_at`, when this process ends.
        """
        self.leaving = True
        self._ends_at = ends_at
        self._refuse_waiting()
        self._push_report()

    def receive(self, channel, message: Message) -> bool:
        """Handle a message of an entry; return whether it was meant for the home."""
        if isinstance(message, Offer):
            self._handle_offer(channel, message)
            return True
        if not isinstance(message, Commit | Cancel | Resume | WindowUpdate):
            return False
        key = (channel.peer_boot, message.stream)
        request = self.requests.get(key)
        if isinstance(message, Commit):
            self._handle_commit(channel, request, message)
        elif isinstance(message, Cancel):
            if request is not None:
                # The entry does not ask for the outcome after this.
                self._stop(request, "cancelled by entry")
                self._remove(request)
        elif isinstance(message, WindowUpdate):
            if request is not None and request.answer_stream is not None:
                request.answer_stream.open_window(message.count)
        else:
            self._resume(channel, request, message.stream)
        return True

    def on_channel_closed(self, channel) -> None:
        """Cancel the requests of a closed channel that have not started.

        Running requests continue, so that the entry can resume them on a new link;
        repeatable ones are cancelled after ORPHAN_TIMEOUT_S.
        """
        now = self.clock.now()
        for request in list(self.requests.values()):
            if request.channel is not channel:
                continue
            if request.state in (HomeRequestState.WAITING, HomeRequestState.GRANTED):
                self._cancel(request, "link closed")
                continue
            request.discard_stream()
            if request.state is HomeRequestState.RUNNING:
                request.orphaned_at = now

    def on_server_facts(self, request: HomeRequest, facts: ServerFacts) -> None:
        if self.notices.note(request.server, facts):
            now = self.clock.now()
            self._capacity.note_answer(self.notices.rate_limit_per_s, now)
            self._scheduler.note_load(request, facts, now)
            if facts.leaving:
                self._note_leaving(request)

    def _note_leaving(self, request: HomeRequest) -> None:
        """Stop sending work to the server that answered a request with its leaving."""
        server = request.server
        departure = Departure(server.instance, server.started_ms)
        if self.server.take_departure(departure, server.started_ms):
            self.on_server_changed()
            self.on_server_left()

    def on_outcome_kept(self, request: HomeRequest) -> None:
        memory = self.client.memory
        request.counted_bytes = request.kept_bytes
        memory.outcomes.bytes += request.counted_bytes
        if memory.outcomes.bytes > self._max_outcome_bytes:
            self._limit_kept_outcomes()

    def on_answered(self, request: HomeRequest, status: int) -> None:
        self.health.note_answer(request, status)
        self._scheduler.note_answer(request, status, self.clock.now())
        self._finish(request)

    def on_run_failed(self, request: HomeRequest, failure: RunFailure) -> None:
        self._scheduler.note_rejection(request, failure, self.clock.now())
        self.health.process_failure(request, failure, self.on_failed)

    def on_failed(self, request: HomeRequest, failure: RunFailure) -> None:
        if request.state is HomeRequestState.DONE:
            return
        self._event_log.request(
            "home:failed",
            request.request_id,
            outcome=failure.outcome.value,
            reason=failure.reason,
            failing=round(
                self.server_estimate.read_failure_probability(self.clock.now()), 3
            ),
        )
        request.send_outcome(
            Failed(
                request.offer.stream,
                failure.outcome is RunOutcome.NOT_RUN,
                failure.arrived,
                failure.reason,
                self.build_report(),
            )
        )
        self._finish(request)
        if failure.rejected:
            self._review_waiting()

    def _handle_offer(self, channel, offer: Offer) -> None:
        now = self.clock.now()
        if self.leaving:
            self._refuse(channel, offer.stream, RefusalReason.LEAVING)
            return
        if now < self.serves_from or not self._serves(offer.service):
            self._refuse(channel, offer.stream, RefusalReason.NO_SERVER)
            return
        if self.server_estimate.is_down(now):
            self._refuse(channel, offer.stream, RefusalReason.SERVER_DOWN)
            return
        if offer.repeated and not self.run_limiter.can_start_run(now):
            self._refuse(channel, offer.stream, RefusalReason.CALLS_SPENT)
            return
        decision = self._decide(offer, now)
        if decision.verdict is OfferVerdict.REFUSE:
            self._refuse(channel, offer.stream, decision.reason)
            if offer.route:
                self._scheduler.note_refused(offer, decision.reason.value)
            return
        request = HomeRequest(self, channel, offer, now)
        if decision.verdict is OfferVerdict.QUEUE:
            self._queue(request, now)
            return
        self._add(request, now)
        self._grant(request)

    def _decide(self, offer: Offer, now: float) -> OfferDecision:
        """Decide on an offer by the estimates that apply to it."""
        state = self._capacity.describe(
            self.server_estimate.read_failure_probability(now),
            self.server_estimate.mean_duration_s,
            offer.priority,
            now,
        )
        if offer.route:
            self._scheduler.note_offer(offer, now)
            self.health.ignores_rejections = True
            return decide_scheduled_offer(
                offer.final_attempt,
                offer.forced,
                offer.remaining_s,
                self._scheduler.estimate_work(offer, now),
                state,
                now,
            )
        return decide_offer(
            offer.final_attempt,
            offer.forced,
            offer.remaining_s,
            offer.objective_remaining_s,
            state,
            now,
        )

    def _add(self, request: HomeRequest, now: float) -> None:
        self.requests[request.key] = request
        self._schedule_sweep(now)

    def _queue(self, request: HomeRequest, now: float) -> None:
        """Let a request wait for a slot, if the order of the waiting ones allows it."""
        displaced = []
        offer = request.offer
        if offer.route:
            # A newcomer comes after waiting requests that are its equals.
            request.sequence = self._waiting.next_sequence
            displaced = self._scheduler.review(now, request)
            if request in displaced:
                self._refuse(request.channel, offer.stream, RefusalReason.BUSY)
                self._scheduler.note_refused(offer, "no-room")
                return
        self._add(request, now)
        self._waiting.add(request)
        request.channel.send(Queued(offer.stream))
        self._refuse_chosen(displaced, "displaced", now)
        self._grant_waiting()

    def _review_waiting(self) -> None:
        """Refuse the scheduled requests that can no longer be served in time here.

        Their entries are told while another home may still serve them.
        """
        if self._scheduler.active:
            now = self.clock.now()
            self._refuse_chosen(self._scheduler.review(now), "late", now)

    def _refuse_chosen(
        self, requests: list[HomeRequest], reason: str, now: float
    ) -> None:
        for request in requests:
            # Refusing one may grant another of them a slot.
            if request.state is HomeRequestState.WAITING:
                self._scheduler.note_displaced(request, reason, now)
                self._refuse_request(request, RefusalReason.BUSY)

    def _serves(self, service: ServiceName) -> bool:
        """Return whether the server accepts work and is one of a service.

        A server of another service may be announced at any time between the offer and
        the start of a request.
        """
        return self.server.accepts_work and self.server.current.service == service

    def _grant(self, request: HomeRequest) -> None:
        now = self.clock.now()
        self._run_history.note_grant(*request.key)
        failure_probability = self.server_estimate.read_failure_probability(now)
        self._capacity.take_slot(failure_probability > SUSPECT_FAILURE_PROBABILITY, now)
        self._scheduler.note_grant(request, now)
        request.state = HomeRequestState.GRANTED
        request.state_since = now
        request.channel.send(Granted(request.offer.stream))

    def _grant_waiting(self) -> None:
        while self._waiting and self._capacity.has_slot:
            if not self.server.accepts_work or self.leaving:
                return
            now = self.clock.now()
            wait_s = self._capacity.compute_wait_s(now)
            if wait_s > 0:
                self._grant_later(wait_s)
                return
            if self._scheduler.active:
                request = self._scheduler.pop_next(now)
            else:
                request = self._waiting.pop()
            if not self._serves(request.offer.service):
                self._refuse_request(request, RefusalReason.NO_SERVER)
                continue
            if request.offer.route:
                if self._scheduler.is_too_late(request, now):
                    self._scheduler.note_displaced(request, "late", now)
                    self._refuse_request(request, RefusalReason.BUSY)
                    continue
            elif self._waiting and now > request.latest_start:
                # The request would not be served in time here. It is refused, since
                # another home may still serve it in time, and the next waiting request
                # gets the slot.
                self._refuse_request(request, RefusalReason.BUSY)
                continue
            self._grant(request)

    def _grant_later(self, wait_s: float) -> None:
        """Grant waiting requests when the server's rate limit admits the next."""
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        self._grant_timer = self.timers.call_at(
            self.clock.now() + wait_s, self._grant_waiting
        )

    def _handle_commit(
        self, channel, request: HomeRequest | None, message: Commit
    ) -> None:
        if request is None or request.state is not HomeRequestState.GRANTED:
            if request is None or request.state is HomeRequestState.WAITING:
                self._refuse_never_received(channel, message.stream)
            return
        now = self.clock.now()
        memory = self.client.memory
        if channel.holds_bodies:
            body_bytes = len(message.body)
            if memory.requests.bytes and not memory.has_room(body_bytes):
                self._event_log.event("home:no-memory", body=body_bytes)
                self._refuse_request(request, RefusalReason.BUSY)
                return
            request.held_bytes = body_bytes
            memory.requests.bytes += body_bytes
        request.request_id = RequestId(message.request_id)
        request.commit = message
        request.deadline = now + message.remaining_s
        if not self._serves(request.offer.service):
            self._refuse_request(request, RefusalReason.NO_SERVER)
            return
        if request.deadline > self._ends_at:
            self._refuse_request(request, RefusalReason.LEAVING)
            return
        if request.offer.repeated:
            if not self.run_limiter.can_start_run(now):
                self._refuse_request(request, RefusalReason.CALLS_SPENT)
                return
            request.repeated = True
            self.run_limiter.start_run()
        self._metrics.count("server_requests_total")
        request.start(message, self.server.current, now)

    def _resume(self, channel, request: HomeRequest | None, stream: int) -> None:
        if request is not None and request.state in (
            HomeRequestState.WAITING,
            HomeRequestState.GRANTED,
        ):
            # The entry sent the request, but it was lost with the link. Cancelling the
            # grant makes sure that a copy that arrives late is refused.
            self._cancel(request, "request was lost when its link broke")
            request = None
        if request is None:
            self._describe_unknown_request(channel, stream)
            return
        if request.answer_stream is not None:
            # Parts of the answer were lost with the link and are not kept. The record
            # is, as the entry asks again if its link breaks before it gets the reply.
            self._stop(request, "streamed answer was lost with its link")
            channel.send(
                Failed(stream, False, True, "streamed answer lost", self.build_report())
            )
            return
        request.channel = channel
        request.orphaned_at = None
        for message in request.outcome:
            channel.send(message)

    def _describe_unknown_request(self, channel, stream: int) -> None:
        """Tell an entry about a request that is not, or no longer, known here."""
        may_have_run = self._run_history.may_have_run(channel.peer_boot, stream)
        self._event_log.event(
            "home:resume-unknown",
            peer=channel.peer_boot,
            stream=stream,
            may_have_run=may_have_run,
        )
        if not may_have_run:
            self._refuse_never_received(channel, stream)
            return
        channel.send(
            Failed(stream, False, True, "outcome was forgotten", self.build_report())
        )

    def _refuse_never_received(self, channel, stream: int) -> None:
        """Tell an entry that its request has no grant here and so never runs here."""
        self._refuse(channel, stream, RefusalReason.NEVER_RECEIVED)

    def _refuse(self, channel, stream: int, reason: RefusalReason) -> None:
        self._metrics.count("home_refusals_total", reason=reason.value)
        channel.send(Refused(stream, reason.value, self.build_report()))

    def _refuse_request(self, request: HomeRequest, reason: RefusalReason) -> None:
        request.send_outcome(
            Refused(request.offer.stream, reason.value, self.build_report())
        )
        self._finish(request)

    def _refuse_waiting(self) -> None:
        for request in self._waiting.pop_all():
            self._refuse_request(request, RefusalReason.LEAVING)

    def _cancel(self, request: HomeRequest, why: str) -> None:
        """End a request and drop its record, for whose outcome its entry may ask."""
        self._stop(request, why)
        self._forget(request)

    def _stop(self, request: HomeRequest, why: str) -> None:
        """End a request, at the server too, and keep its record."""
        request.discard_stream()
        if request.state is HomeRequestState.RUNNING:
            request.run.cancel()
            self._event_log.request("home:cancelled", request.request_id, why=why)
        self._finish(request)

    def _finish(self, request: HomeRequest) -> None:
        if request.state is HomeRequestState.DONE:
            return
        if request.state is HomeRequestState.WAITING:
            self._waiting.remove(request)
        else:
            was_sent = request.state is HomeRequestState.RUNNING
            self._scheduler.note_end(request)
            self._capacity.free_slot(was_sent, self.clock.now())
            if request.repeated:
                self.run_limiter.end_run()
        request.state = HomeRequestState.DONE
        request.commit = None
        self.client.memory.requests.bytes -= request.held_bytes
        request.held_bytes = 0
        request.state_since = self.clock.now()
        self._grant_waiting()

    def _push_report(self) -> None:
        push = ReportPush(self.build_report())
        for channel in self._list_channels():
            channel.send(push)

    def _schedule_sweep(self, now: float) -> None:
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self.timers.call_at(now + SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        now = self.clock.now()
        self._sweep_scheduled = False
        for request in self._capacity.list_too_late(now):
            # Refusing one may grant another of them a slot.
            if request.state is HomeRequestState.WAITING:
                self._refuse_request(request, RefusalReason.BUSY)
        self._review_waiting()
        for request in list(self.requests.values()):
            if request.state is HomeRequestState.DONE:
                # The entry ends the request at its deadline and asks no more.
                if now > request.deadline:
                    self._forget(request)
                continue
            if request.state is HomeRequestState.WAITING:
                if now > request.deadline:
                    self._refuse_request(request, RefusalReason.EXPIRED)
                continue
            timeout_reason = request.find_timeout_reason(now)
            if timeout_reason is not None:
                self._cancel(request, timeout_reason)
                continue
            request.update_reading()
        self._limit_kept_outcomes()
        if self._scheduler.active:
            self._scheduler.update_metrics(now)
        if self.requests:
            self._schedule_sweep(now)

    def _limit_kept_outcomes(self) -> None:
        """Forget the oldest outcomes if all take too much memory."""
        memory = self.client.memory
        limit_bytes = self._max_outcome_bytes
        if memory.outcomes.bytes <= limit_bytes:
            return
        kept = [
            request
            for request in self.requests.values()
            if request.counted_bytes and request.is_sent
        ]
        for request in sorted(kept, key=lambda request: request.state_since):
            self._forget(request)
            if memory.outcomes.bytes <= limit_bytes * KEPT_OUTCOMES_SHARE:
                return

    @property
    def _max_outcome_bytes(self) -> int:
        return min(MAX_KEPT_OUTCOME_BYTES, self.client.memory.max_outcome_bytes)

    def _forget(self, request: HomeRequest) -> None:
        """Drop a record, but remember whether the request was sent to the server."""
        if request.run is not None:
            self._run_history.note_forgotten(*request.key)
        self._remove(request)

    def _remove(self, request: HomeRequest) -> None:
        # Ending one request may forget others, which its caller has listed already.
        if self.requests.pop(request.key, None) is None:
            return
        request.discard_stream()
        self.client.memory.outcomes.bytes -= request.counted_bytes
        # The request and its run refer to each other, so they are freed late.
        request.outcome.clear()
