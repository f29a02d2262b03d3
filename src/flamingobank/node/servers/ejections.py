"""Eject failing servers of this node under floor leases, and readmit them."""

from collections.abc import Callable, Iterable

import eliot

from flamingobank.core import Clock, InstanceId, NodeId, ServiceName
from flamingobank.health import (
    Condition,
    EjectionDecision,
    EjectionState,
    Finding,
    FloorDenial,
    FloorGrant,
    FloorLedger,
    FloorMessage,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
    ServerSummary,
    Stage,
    WorkOutcome,
    derive_baseline,
    judge_outlier,
)
from flamingobank.loop import Timers
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.servers import Server

# Each server is assessed at this interval. At 50 ms, half of the time to detect slow
# requests would be spent waiting for the next assessment.
TICK_INTERVAL_S = 0.02
TICKS_PER_LEDGER_TICK = 4
TICKS_PER_REFRESH = 12
# Outcomes after which a server is assessed at once, as they may complete the evidence
# against it.
FAILURE_OUTCOMES = (WorkOutcome.FAILED, WorkOutcome.TIMED_OUT)


class EjectionController:
    """Decide on ejections from servers' health, floor leases and readmission stages."""

    def __init__(
        self,
        node_id: NodeId,
        epoch: int,
        clock: Clock,
        timers: Timers,
        dispatcher: Dispatcher,
        send: Callable[[NodeId, FloorMessage], None],
        list_announced: Callable[[ServiceName], dict[InstanceId, NodeId]],
        on_change: Callable[[], None],
    ) -> None:
        self.ledger = FloorLedger(node_id, epoch, clock.now())
        self.events: list[dict] = []
        self.on_event: Callable[[dict], None] = lambda event: None
        self._node_id = node_id
        self._clock = clock
        self._dispatcher = dispatcher
        self._send = send
        self._list_announced = list_announced
        self._on_change = on_change
        self._ticks = 0
        timers.call_every(TICK_INTERVAL_S, self._tick)

    def announce(self, server: Server) -> None:
        """Record an announcement; only announced servers get floor promises."""
        if server.service is None:
            return
        now = self._clock.now()
        self.ledger.announce(server.service, server.instance, now)
        if server.draining:
            self._send_all(self.ledger.set_in_service(server.instance, False, now))

    def return_to_service(self, server: Server) -> None:
        """Record that a draining server is in service again."""
        self.ledger.set_in_service(server.instance, True, self._clock.now())

    def remove(self, instance: InstanceId) -> None:
        """Remove a server that is gone or has moved to another home."""
        now = self._clock.now()
        # Revokes the promises about the server at once, as it is no longer in service
        # here.
        self._send_all(self.ledger.set_in_service(instance, False, now))
        self._send_all(self.ledger.remove(instance, now))

    def on_outcome(self, server: Server, outcome: WorkOutcome) -> None:
        """Assess a server at once after a failure, and update its stage."""
        if outcome in FAILURE_OUTCOMES:
            self._assess(server)
        self._apply_stage(server)

    def receive(self, message: FloorMessage) -> None:
        """Process a floor lease message of another home."""
        now = self._clock.now()
        if isinstance(message, FloorRequest):
            self._answer_request(message, now)
        elif isinstance(message, FloorGrant):
            instance = message.request.instance
            self._apply_decision(instance, self.ledger.accept(message, now))
        elif isinstance(message, FloorDenial):
            instance = message.request.instance
            self._apply_decision(instance, self.ledger.decline(message, now))
        elif isinstance(message, FloorRelease):
            self.ledger.release(message, now)
        elif isinstance(message, FloorRevocation):
            self._apply_decision(message.instance, self.ledger.revoke(message, now))

    def _tick(self) -> None:
        self._ticks += 1
        if self._ticks % TICKS_PER_LEDGER_TICK == 0:
            self._send_all(self.ledger.tick(self._clock.now()))
        if self._ticks % TICKS_PER_REFRESH == 0:
            self.refresh_services()
        for server in list(self._dispatcher.servers.values()):
            self._assess(server)
            self._apply_stage(server)

    def refresh_services(self) -> None:
        """Update floors and announced servers in the ledger.

        This covers the services with servers here, and their servers at all homes.
        """
        for name, pool in self._dispatcher.pools.items():
            if pool.servers:
                announced = self._list_announced(name)
                self.ledger.set_service(name, pool.service.floor, announced)

    def _assess(self, server: Server) -> None:
        now = self._clock.now()
        assessment = server.health.assess(server.baseline, now)
        server.slots.in_doubt = server.health.is_undecided()
        if assessment.condition is not Condition.SUSPECT:
            return
        if server.readmission.get_stage(now) is not Stage.IN_SERVICE:
            return
        if server.service is None:
            return
        summary = server.health.summarize(now)
        self._send_all(
            self.ledger.request_leases(
                server.service, server.instance, assessment.score, now, summary
            )
        )

    def _answer_request(self, request: FloorRequest, now: float) -> None:
        server = self._dispatcher.servers.get(request.target)
        summary = ServerSummary()
        if server is not None:
            summary = server.health.summarize(now, request.summary.window_s)
        self._send_all([self.ledger.answer(request, now, summary)])

    def _apply_decision(self, instance: InstanceId, decision: EjectionDecision) -> None:
        """Act on a decision of the ledger about one server's ejection.

        Peers are the other announced servers of the service. The server is compared
        with them once it has the required leases or the summaries of all peers.
        """
        self._send_all(decision.sends)
        server = self._dispatcher.servers.get(instance)
        if server is None:
            return
        if decision.state is EjectionState.EJECTED:
            self._begin_ejection(server)
            return
        now = self._clock.now()
        peers = self.ledger.get_summaries(instance)
        if server.service is None or decision.state is EjectionState.NONE:
            return
        others = len(self._list_announced(server.service)) - 1
        if decision.leases < decision.required and len(peers) < others:
            return
        self._compare_with_peers(server, peers, now)

    def _compare_with_peers(
        self, server: Server, peers: list[ServerSummary], now: float
    ) -> None:
        own = server.health.summarize(now)
        verdict = judge_outlier(own, peers)
        if verdict.finding is Finding.OUTLIER:
            decision = self.ledger.eject(server.instance, now)
            self._send_all(decision.sends)
            server.ejection_reason = (
                f"{verdict.cause.value}: {verdict.own_rate:.2f} against "
                f"{verdict.peer_rate:.2f} of {len(peers)} peers"
            )
            if decision.state is EjectionState.EJECTED:
                self._begin_ejection(server)
            return
        self._send_all(self.ledger.cancel(server.instance, now))
        if verdict.finding is Finding.COMMON_CAUSE:
            server.baseline = derive_baseline(peers, now)

    def _begin_ejection(self, server: Server) -> None:
        now = self._clock.now()
        if server.readmission.get_stage(now) is not Stage.IN_SERVICE:
            return
        server.readmission.eject(now)
        self._report_event("ejected", server, server.ejection_reason)
        self._apply_stage(server)

    def _apply_stage(self, server: Server) -> None:
        """Apply the readmission stage to the server's slots.

        The floor leases are held until the server is back in service. If they are lost
        before that, the ejection is reversed.
        """
        now = self._clock.now()
        instance = server.instance
        stage = server.readmission.get_stage(now)
        covered = self.ledger.is_ejected(instance, now)
        if stage is not Stage.IN_SERVICE and not covered:
            server.readmission.reverse(now)
            stage = Stage.IN_SERVICE
        if stage is Stage.IN_SERVICE and server.slots.stage is Stage.TRICKLE:
            self._send_all(self.ledger.cancel(instance, now))
            server.health.reset(now)
        changed = server.slots.stage is not stage
        server.slots.stage = stage
        if stage is Stage.IN_SERVICE and self.ledger.is_ejected(instance, now):
            self._begin_ejection(server)
            return
        server.slots.share = server.readmission.share
        if not changed:
            return
        if stage is Stage.IN_SERVICE:
            self._report_event("readmitted", server, "")
        elif stage is Stage.TRICKLE:
            self._report_event("trickle", server, server.ejection_reason)
        self._dispatcher.refresh_server(server)
        self._on_change()

    def _send_all(self, messages: Iterable[FloorMessage]) -> None:
        for message in messages:
            if message.destination == self._node_id:
                self.receive(message)
                continue
            self._send(message.destination, message)

    def _report_event(self, what: str, server: Server, why: str) -> None:
        event = {"what": what, "instance": server.instance, "why": why}
        eliot.log_message(message_type=f"health:{what}", **event)
        self.events.append(event)
        del self.events[:-200]
        self.on_event(event)
