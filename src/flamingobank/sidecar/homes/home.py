"""Be the only way to the server beside this process.

The home counts the server's slots, judges its health by real work and remembers the
outcomes of requests for a while, so that an entry whose link broke can still ask.
"""

from collections.abc import Callable

from flamingobank.core import Clock, Invariant, RequestId, check_invariant
from flamingobank.loop import Timers
from flamingobank.sidecar.decisions.gate import (
    SUSPECT_LIMIT,
    GateState,
    OfferVerdict,
    decide_offer,
)
from flamingobank.sidecar.decisions.retry_budget import RepeatedCalls
from flamingobank.sidecar.dialect import Dialect
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.server_state import AnnouncedServer
from flamingobank.sidecar.homes.requests import (
    HomeRequest,
    HomeRequestOwner,
    HomeRequestState,
)
from flamingobank.sidecar.homes.server_client import (
    RunFailure,
    RunOutcome,
    ServerClient,
)
from flamingobank.sidecar.homes.server_health import ServerHealth
from flamingobank.sidecar.homes.waiting_requests import WaitingRequests
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
)
from flamingobank.sidecar.metrics import SidecarMetrics

# Entries ask for the outcome as soon as their link is back.
RETAIN_S = 6.0
SWEEP_INTERVAL_S = 0.2


class Home(HomeRequestOwner):
    """Serve offers of entries with the server of this machine."""

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
        calls: RepeatedCalls,
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.client = client
        self.dialect = dialect
        self.server = AnnouncedServer()
        self.leaving = False
        self.requests: dict[tuple[str, int], HomeRequest] = {}
        self.calls = calls
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
        self.server_estimate = self.health.server_estimate
        # Departures that an earlier process acknowledged may still have to be learned.
        self.serves_from = clock.now()
        self._waiting = WaitingRequests()
        self._busy = 0
        self._probed_at = 0.0
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is under way."""
        return not self._busy and not self._waiting

    def describe(self) -> HomeReport:
        now = self.clock.now()
        current = self.server.current
        return HomeReport(
            current.service if current is not None else "",
            round(self.server_estimate.read_failing(now), 3),
            self._busy,
            len(self._waiting),
            self.server.slots,
            self._accepts_work(now),
        )

    def _accepts_work(self, now: float) -> bool:
        if self.leaving or self.server_estimate.is_down(now):
            return False
        return self.server.accepts_work

    def on_server_changed(self) -> None:
        """React to a new server or a change of its lifecycle."""
        current = self.server.current
        if current is not None:
            self.client.set_server(current.address, current.instance)
        if not self.server.accepts_work:
            self._refuse_waiting()
        self._push_report()

    def on_new_instance(self) -> None:
        """Forget what was believed of an earlier server."""
        self.server_estimate.forget(self.clock.now())

    def leave(self) -> None:
        """Take no new work."""
        self.leaving = True
        self._refuse_waiting()
        self._push_report()

    def receive(self, channel, message: Message) -> bool:
        """React to a message of an entry; tell whether it was for the home."""
        if isinstance(message, Offer):
            self._take_offer(channel, message)
            return True
        if not isinstance(message, Commit | Cancel | Resume):
            return False
        key = (channel.peer_boot, message.stream)
        work = self.requests.get(key)
        if isinstance(message, Commit):
            self._take_commit(channel, work, message)
        elif isinstance(message, Cancel):
            if work is not None:
                self._cancel(work, "cancelled by entry")
        else:
            self._resume(channel, work, message.stream)
        return True

    def on_channel_closed(self, channel) -> None:
        """Give up what waits for an entry that cannot be reached."""
        now = self.clock.now()
        for work in list(self.requests.values()):
            if work.channel is not channel:
                continue
            if work.state in (HomeRequestState.WAITING, HomeRequestState.GRANTED):
                self._cancel(work, "link closed")
            elif work.state is HomeRequestState.RUNNING:
                work.orphaned_at = now

    def on_answered(self, work: HomeRequest, status: int) -> None:
        self.health.note_answer(work, status)
        self._finish(work)

    def on_run_failed(self, work: HomeRequest, failure: RunFailure) -> None:
        self.health.judge_failure(work, failure, self.on_failed)

    def on_failed(self, work: HomeRequest, failure: RunFailure) -> None:
        if work.state is HomeRequestState.DONE:
            return
        self._event_log.request(
            "home:failed",
            work.request_id,
            outcome=failure.outcome.value,
            reason=failure.reason,
            failing=round(self.server_estimate.read_failing(self.clock.now()), 3),
        )
        work.report(
            Failed(
                work.offer.stream,
                failure.outcome is RunOutcome.NOT_RUN,
                failure.arrived,
                failure.reason,
                self.describe(),
            )
        )
        self._finish(work)

    def _take_offer(self, channel, offer: Offer) -> None:
        now = self.clock.now()
        current = self.server.current
        if self.leaving:
            self._refuse(channel, offer.stream, RefusalReason.LEAVING)
            return
        unknown = now < self.serves_from or not self.server.accepts_work
        if unknown or current.service != offer.service:
            self._refuse(channel, offer.stream, RefusalReason.NO_SERVER)
            return
        if self.server_estimate.is_down(now):
            self._refuse(channel, offer.stream, RefusalReason.SERVER_DOWN)
            return
        if offer.repeated and not self.calls.can_pay(now):
            self._refuse(channel, offer.stream, RefusalReason.CALLS_SPENT)
            return
        state = GateState(
            self.server_estimate.read_failing(now),
            self._busy,
            len(self._waiting),
            self._waiting.count_before(offer.priority),
            self.server.slots,
            self.server_estimate.mean_work_s,
            self._probed_at,
        )
        decision = decide_offer(
            offer.final_attempt,
            offer.forced,
            offer.left_s,
            offer.objective_left_s,
            state,
            now,
        )
        if decision.verdict is OfferVerdict.REFUSE:
            self._refuse(channel, offer.stream, decision.reason)
            return
        work = HomeRequest(self, channel, offer, now)
        self.requests[work.key] = work
        if decision.verdict is OfferVerdict.QUEUE:
            self._waiting.add(work)
            channel.send(Queued(offer.stream))
            self._grant_waiting()
            return
        self._grant(work)

    def _grant(self, work: HomeRequest) -> None:
        now = self.clock.now()
        self._busy += 1
        if self.server_estimate.read_failing(now) > SUSPECT_LIMIT:
            self._probed_at = now
        work.state = HomeRequestState.GRANTED
        work.state_since = now
        work.channel.send(Granted(work.offer.stream))

    def _grant_waiting(self) -> None:
        while self._waiting and self._busy < self.server.slots:
            if not self.server.accepts_work or self.leaving:
                return
            work = self._waiting.pop()
            if self._waiting and self.clock.now() > work.latest_start:
                # Another one can still be in time; this one may be at another home.
                self._refuse_work(work, RefusalReason.BUSY)
                continue
            self._grant(work)

    def _take_commit(self, channel, work: HomeRequest | None, message: Commit) -> None:
        if work is None or work.state is not HomeRequestState.GRANTED:
            if work is None or work.state is HomeRequestState.WAITING:
                self._answer_unknown(channel, message.stream)
            return
        now = self.clock.now()
        work.request_id = RequestId(message.request_id)
        work.commit = message
        work.deadline = now + message.left_s
        if not self.server.accepts_work:
            # The server began to leave between the grant and the request.
            self._refuse_work(work, RefusalReason.NO_SERVER)
            return
        if work.offer.repeated:
            work.repeated = True
            self.calls.start_run()
        self._metrics.count("server_requests_total")
        work.start(message, now)

    def _resume(self, channel, work: HomeRequest | None, stream: int) -> None:
        if work is not None and work.state in (
            HomeRequestState.WAITING,
            HomeRequestState.GRANTED,
        ):
            # The request was lost with the link; a late copy finds no grant.
            self._cancel(work, "request was lost with its link")
            work = None
        if work is None:
            self._answer_unknown(channel, stream)
            return
        work.channel = channel
        work.orphaned_at = None
        for message in work.outcome:
            channel.send(message)

    def _answer_unknown(self, channel, stream: int) -> None:
        """Promise that a request without a grant never runs."""
        self._refuse(channel, stream, RefusalReason.NEVER_RECEIVED)

    def _refuse(self, channel, stream: int, reason: RefusalReason) -> None:
        self._metrics.count("home_refusals_total", reason=reason.value)
        channel.send(Refused(stream, reason.value, self.describe()))

    def _refuse_work(self, work: HomeRequest, reason: RefusalReason) -> None:
        work.report(Refused(work.offer.stream, reason.value, self.describe()))
        self._finish(work)

    def _refuse_waiting(self) -> None:
        for work in self._waiting.pop_all():
            self._refuse_work(work, RefusalReason.LEAVING)

    def _cancel(self, work: HomeRequest, why: str) -> None:
        if work.state is HomeRequestState.RUNNING:
            work.run.cancel()
            self._event_log.request("home:cancelled", work.request_id, why=why)
        self._finish(work)
        self.requests.pop(work.key, None)

    def _finish(self, work: HomeRequest) -> None:
        if work.state is HomeRequestState.DONE:
            return
        if work.state is HomeRequestState.WAITING:
            self._waiting.remove(work)
        else:
            self._busy -= 1
            if work.repeated:
                self.calls.end_run()
        work.state = HomeRequestState.DONE
        work.commit = None
        work.state_since = self.clock.now()
        check_invariant(Invariant.SLOTS, self._busy >= 0, busy=self._busy)
        self._grant_waiting()

    def _push_report(self) -> None:
        push = ReportPush(self.describe())
        for channel in self._list_channels():
            channel.send(push)

    def _sweep(self) -> None:
        now = self.clock.now()
        for key, work in list(self.requests.items()):
            if work.state is HomeRequestState.DONE:
                if now > work.state_since + RETAIN_S:
                    del self.requests[key]
                continue
            if work.state is HomeRequestState.WAITING:
                if now > work.deadline:
                    self._refuse_work(work, RefusalReason.EXPIRED)
                continue
            overdue = work.find_overdue(now)
            if overdue is not None:
                self._cancel(work, overdue)
