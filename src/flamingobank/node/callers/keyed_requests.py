"""Handle requests with issued keys as their keeper, replica or entry."""

import time
from collections.abc import Callable, Sequence

import eliot
from expression import Result

from flamingobank.core import (
    Clock,
    Disposition,
    FailureDomain,
    Fingerprint,
    NodeId,
    Refusal,
    RefusalCause,
    RouteName,
)
from flamingobank.directory import HomeEntry
from flamingobank.idempotency import (
    HandoverAck,
    HandoverPart,
    IssuedKey,
    Keeper,
    KeeperMoved,
    KeeperMoveTable,
    KeeperName,
    KeeperRedirect,
    KeyDecision,
    KeyId,
    KeyRecord,
    KeyRecordAck,
    KeyRejected,
    OutcomeUnknown,
    Prepare,
    Replay,
    ReplicaRecords,
    ResendRequired,
    RunGranted,
    RunRefused,
    SendToNode,
    parse_key,
    rank_replicas,
)
from flamingobank.loop import Timers
from flamingobank.membership import Member
from flamingobank.node.callers.keeper_requests import (
    KeeperRequest,
    RunRecorder,
    SendRequest,
    make_replay,
)
from flamingobank.node.callers.key_wire import KeyMessage, pack_key_message
from flamingobank.node.knowledge.members import MembershipService
from flamingobank.node.links.exchange import AnswerSink, RunningRequest
from flamingobank.quarantine import compute_fingerprint
from flamingobank.wire import Message, OpenRequest

KEEPER_TICK_INTERVAL_S = 0.05
MAX_REPLICAS = 3
REPLICA_REFRESH_INTERVAL_S = 0.5


class KeyedRequests(RunRecorder):
    """This process's keeper, and the records it keeps as a replica of others."""

    def __init__(
        self,
        node_id: NodeId,
        boot: str,
        domain: FailureDomain,
        clock: Clock,
        timers: Timers,
        secrets: Sequence[bytes],
        members: MembershipService,
        send_to_node: Callable[[NodeId, Message], None],
        broadcast: Callable[[Message], None],
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.choose_home: Callable[[str, set[NodeId]], HomeEntry | None]
        self.send: SendRequest
        self.name = KeeperName(node_id, boot)
        wall_offset_s = time.time() - clock.now()
        self.keeper = Keeper(self.name, secrets, wall_offset_s)
        self.replica = ReplicaRecords(node_id)
        self.moves = KeeperMoveTable()
        self.handed_over = False
        self._domain = domain
        self._secrets = tuple(secrets)
        self._members = members
        self._send_to_node = send_to_node
        self._broadcast = broadcast
        self._prepared: dict[KeyId, KeeperRequest] = {}
        self._running = 0
        timers.call_every(KEEPER_TICK_INTERVAL_S, self._tick)
        timers.call_every(REPLICA_REFRESH_INTERVAL_S, self._refresh_replicas)

    @property
    def is_idle(self) -> bool:
        """Return whether the keeper was sealed and handed over and no request runs."""
        return self.handed_over and not self._running

    def issue_keys(self, count: int) -> Result[list[str], Refusal]:
        """Issue keys that name this process."""
        return self.keeper.issue_keys(count, self.clock.now())

    def parse(self, key: str) -> Result[IssuedKey, object]:
        """Parse and verify a fleet-issued key."""
        return parse_key(key, self._secrets)

    def find_keeper(self, issued: IssuedKey) -> KeeperName:
        """Return the process known to be the current keeper of a key."""
        return self.moves.find(issued.keeper)

    def list_replicas(self, issued: IssuedKey) -> list[NodeId]:
        """Return the nodes that may hold a lost keeper's records, best ranked first."""
        member = self._members.membership.find(issued.keeper.node)
        domain = member.failure_domain if member is not None else FailureDomain("")
        nodes = self._map_failure_domains()
        # The map holds other members only, but this node may be a replica too.
        nodes[self.name.node] = self._domain
        return rank_replicas(issued.keeper, domain, nodes)[:MAX_REPLICAS]

    def serve(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Decide about a request as its keeper, and run it at most once."""
        request = KeeperRequest(self, message, body, sink)
        decision = self.keeper.accept(
            message.key,
            compute_key_fingerprint(message, body),
            self.clock.now(),
            message.generation,
            request.deadline,
        )
        self._apply_decision(decision, request, sink)
        return request

    def replay(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Answer from this replica's records if the keeper cannot be reached."""
        request = KeeperRequest(self, message, body, sink)
        parsed = self.parse(message.key)
        if parsed.is_error():
            request.refuse(_make_refusal(RefusalCause.KEY_INVALID, str(parsed.error)))
            return request
        fingerprint = compute_key_fingerprint(message, body)
        self._apply_decision(self.replica.answer(parsed.ok, fingerprint), request, sink)
        return request

    def record_done(self, run: RunGranted, status: int, answer: bytes) -> None:
        """Record a complete answer."""
        self._running -= 1
        self._send_all(self.keeper.record_done(run, status, answer, self.clock.now()))

    def record_not_run(self, run: RunGranted) -> None:
        """Record that no byte of the request reached a server."""
        self._running -= 1
        self._send_all(self.keeper.record_not_run(run, self.clock.now()))

    def record_unknown(self, run: RunGranted) -> None:
        """Record that the request may have run."""
        self._running -= 1
        self._send_all(self.keeper.record_unknown(run, self.clock.now()))

    def receive(self, sender: NodeId, message: KeyMessage) -> None:
        """Handle a message of another keeper or replica."""
        now = self.clock.now()
        if isinstance(message, KeyRecord):
            self._handle_record(sender, message, now)
        elif isinstance(message, KeyRecordAck):
            self._handle_ack(message, now)
        elif isinstance(message, HandoverPart):
            self._send_all(self.keeper.on_handover_part(message, now))
        elif isinstance(message, HandoverAck):
            if self.keeper.on_handover_ack(message):
                self._finish_handover(message.successor)
        elif isinstance(message, KeeperMoved) and self._is_new_move(message):
            self.moves.record(message)
            self._broadcast(pack_key_message(message))

    def on_member_gone(self, member: Member) -> None:
        """Handle the loss of a node, and choose the replicas of this keeper again.

        If the node handed its records to this one, the requests that it was still
        running are recorded as unknown.
        """
        self.keeper.on_keeper_lost(KeeperName(member.node_id, member.boot_id))
        self._refresh_replicas()

    def seal(self) -> None:
        """Stop accepting requests for good, and hand the records to a live member.

        A member in the same failure domain is preferred.
        """
        if self.keeper.sealed:
            return
        members = [
            member
            for member in self._members.membership.members()
            if not member.leaving
        ]
        successor = None
        if members:
            same_domain = [
                member for member in members if member.failure_domain == self._domain
            ]
            chosen = min(same_domain or members, key=lambda member: member.node_id)
            successor = KeeperName(chosen.node_id, chosen.boot_id)
        self.handed_over = successor is None
        self._apply_effects(self.keeper.seal(successor, self.clock.now()))

    def _apply_decision(
        self, decision: KeyDecision, request: KeeperRequest, sink: AnswerSink
    ) -> None:
        if isinstance(decision, RunGranted):
            self._start_run(decision, request)
        elif isinstance(decision, Prepare):
            self._prepared[decision.key_id] = request
            self._send_all(decision.sends)
        elif isinstance(decision, Replay):
            answer = decision.answer
            sink.on_start(make_replay(request.message, decision.status, answer))
        else:
            request.refuse(make_decision_refusal(decision))

    def _start_run(self, run: RunGranted, request: KeeperRequest) -> None:
        self._running += 1
        request.start(run)

    def _handle_record(self, sender: NodeId, record: KeyRecord, now: float) -> None:
        if record.key_id.keeper in self.keeper.list_names():
            self._send_all(self.keeper.on_record(record, sender, now))
        ack = self.replica.on_record(record)
        if ack is not None:
            self._send_to_node(sender, pack_key_message(ack))

    def _handle_ack(self, ack: KeyRecordAck, now: float) -> None:
        decision = self.keeper.on_ack(ack, now)
        if decision is None:
            return
        request = self._prepared.pop(decision.key_id, None)
        if request is None:
            return
        if isinstance(decision, RunGranted):
            self._start_run(decision, request)
            return
        request.refuse(
            _make_refusal(decision.reason, "the key was not recorded in time")
        )

    def _tick(self) -> None:
        self._apply_effects(self.keeper.tick(self.clock.now()))

    def _apply_effects(self, effects: Sequence[SendToNode | RunRefused]) -> None:
        for effect in effects:
            if isinstance(effect, SendToNode):
                self._send_all([effect])
                continue
            request = self._prepared.pop(effect.key_id, None)
            if request is not None:
                reason = effect.reason
                if reason is RefusalCause.UNREACHABLE:
                    # Here a replica is unreachable. An entry that receives UNREACHABLE
                    # takes the keeper for lost and asks the replicas.
                    reason = RefusalCause.NO_CAPACITY
                detail = "no replica confirmed the record of the key"
                request.refuse(_make_refusal(reason, detail))

    def _send_all(self, sends: Sequence[SendToNode]) -> None:
        for send in sends:
            self._send_to_node(send.to, pack_key_message(send.message))

    def _refresh_replicas(self) -> None:
        ranked = rank_replicas(self.name, self._domain, self._map_failure_domains())
        self.keeper.set_replicas(ranked[:MAX_REPLICAS])

    def _map_failure_domains(self) -> dict[NodeId, FailureDomain]:
        return {
            member.node_id: member.failure_domain
            for member in self._members.membership.members()
        }

    def _is_new_move(self, message: KeeperMoved) -> bool:
        return any(
            self.moves.find(keeper) != message.successor
            for keeper in message.keepers
            if keeper != message.successor
        )

    def _finish_handover(self, successor: KeeperName) -> None:
        self.handed_over = True
        eliot.log_message(
            message_type="keeper:moved", node=self.name.node, successor=successor.node
        )
        moved = KeeperMoved(tuple(self.keeper.list_names()), successor)
        self.moves.record(moved)
        self._broadcast(pack_key_message(moved))


def compute_key_fingerprint(message: OpenRequest, body: bytes) -> Fingerprint:
    """Return a fingerprint that is the same for each send of a keyed request."""
    target = message.target.decode("latin-1")
    return compute_fingerprint(
        RouteName(message.route), "", message.method, target, body
    )


def _make_refusal(
    reason: RefusalCause, detail: str, disposition: Disposition = Disposition.NOT_RUN
) -> Refusal:
    return Refusal(disposition, reason, 1.0, detail)


def make_decision_refusal(decision: KeyDecision) -> Refusal:
    """Return the refusal for a decision that neither runs nor replays a request."""
    if isinstance(decision, OutcomeUnknown):
        detail = "a request with this key may have run"
        return _make_refusal(decision.reason, detail, Disposition.UNKNOWN)
    if isinstance(decision, KeyRejected):
        return _make_refusal(decision.reason, decision.detail)
    if isinstance(decision, ResendRequired):
        return _make_refusal(RefusalCause.REOPENED, str(decision.generation))
    if isinstance(decision, KeeperRedirect):
        successor = decision.successor
        name = "" if successor is None else successor.node
        return _make_refusal(RefusalCause.KEEPER_MOVED, name)
    detail = "an earlier request with this key has not ended"
    return _make_refusal(RefusalCause.STILL_RUNNING, detail, Disposition.STILL_RUNNING)
