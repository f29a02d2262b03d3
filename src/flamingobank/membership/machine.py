"""State machine of the membership protocol of one node, without any I/O."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from flamingobank.core import NodeId, Revision
from flamingobank.membership.composer import Composer
from flamingobank.membership.exchange import StateExchange
from flamingobank.membership.messages import (
    Ack,
    Address,
    Gossip,
    Member,
    MemberState,
    Message,
    Ping,
    PingRequest,
    SendDatagram,
    StatePart,
    StateRequest,
)
from flamingobank.membership.outcomes import (
    InitialSyncDone,
    MembershipOutcome,
    ProcessPaused,
    Rejected,
    RejectReason,
    RevisionSeen,
)
from flamingobank.membership.prober import Prober
from flamingobank.membership.pusher import GossipPusher
from flamingobank.membership.records import (
    UNREACHABLE_RETENTION_S,
    MergeResult,
    Records,
    compute_suspicion_s,
)
from flamingobank.membership.replays import ReplayGuard

TICK_INTERVAL_S = 0.1
REJECTIONS_MAX = 1024


class Membership:
    """Membership protocol of one node.

    The node calls tick() every TICK_INTERVAL_S and handle() for each datagram, and
    sends the datagrams that each call returns. now is in seconds on a monotonic
    clock.
    """

    def __init__(
        self,
        local_member: Member,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        on_pause: Callable[[ProcessPaused], None] | None = None,
    ) -> None:
        self._records = Records(local_member)
        self._composer = Composer(self._records)
        self._exchange = StateExchange(self._records, self._composer, seeds, rng, now)
        self._prober = Prober(self._records, self._composer, rng, now)
        self._pusher = GossipPusher(self._records, self._composer, rng, now)
        self._replays = ReplayGuard()
        self._rng = rng
        self._on_pause = on_pause
        self.counts: Counter[str] = Counter()
        self._last_call_at = now
        self._last_received_at = now

    @property
    def local_member(self) -> Member:
        """Return the record of this node."""
        return self._records.local_member

    @property
    def is_joined(self) -> bool:
        """Return whether the initial state exchange is complete."""
        return self._exchange.is_joined

    def members(self) -> list[Member]:
        """Return the other members in service, which are alive or suspect."""
        return self._records.table.list_in_service()

    def find(self, node_id: NodeId) -> Member | None:
        """Return the record of another member, even if it is out of service."""
        return self._records.table.get(node_id)

    def pick(self, count: int, accept: Callable[[Member], bool]) -> list[Member]:
        """Return up to count random members in service for which accept is true."""
        return self._records.table.pick(count, self._rng, accept)

    def count_at_revision(self, revision: Revision) -> tuple[int, int]:
        """Return how many nodes in service have applied a revision, and their total."""
        members = [self.local_member, *self.members()]
        return sum(item.revision >= revision for item in members), len(members)

    def take_outcomes(self) -> list[MembershipOutcome]:
        """Return the outcomes since the last call, oldest first."""
        outcomes = list(self._records.outcomes)
        self._records.outcomes.clear()
        return outcomes

    def add_seeds(self, seeds: Sequence[Address]) -> None:
        """Add addresses at which members may be found, as from watch leases."""
        self._exchange.add_seeds(seeds)

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration revision that this node reports as applied."""
        self._records.local_member = replace(self.local_member, revision=revision)

    def request_revisions(self, revision: Revision) -> list[SendDatagram]:
        """Return pings to members that are not known to have applied a revision."""
        return self._prober.request_revisions(revision)

    def drain(self) -> list[SendDatagram]:
        """Announce that this node is leaving; it continues to answer probes."""
        self._records.local_member = replace(self.local_member, leaving=True)
        self._records.renew_incarnation(0)
        return self._pusher.push()

    def leave(self) -> list[SendDatagram]:
        """Announce that this node has left; nothing more is sent afterwards."""
        self._records.local_member = replace(
            self.local_member, state=MemberState.LEFT, leaving=True
        )
        self._records.announce()
        return self._pusher.push()

    def tick(self, now: float) -> list[SendDatagram]:
        """Run the timers that are due."""
        self._detect_pause(now)
        if self._is_stopped:
            return []
        self._records.expire(now)
        self._remove_senders()
        sends = self._prober.tick(now, self._last_received_at)
        self._records.newly_suspected.clear()
        sends += self._exchange.tick(now)
        sends += self._pusher.tick(now)
        return sends

    def handle(self, message: Message | Rejected, now: float) -> list[SendDatagram]:
        """Process a decoded datagram, or the reason why one could not be decoded."""
        if isinstance(message, Rejected):
            return self._reject(message)
        self._detect_pause(now)
        if self._is_stopped:
            return []
        sender = message.sender
        if sender.node_id == self.local_member.node_id:
            return self._handle_own_id(message, now)
        if not self._replays.accept(sender, message.sequence):
            return self._reject_as(RejectReason.REPLAYED, message)
        self._last_received_at = now
        incarnation = self.local_member.incarnation
        sends = self._process(message, now)
        if self.local_member.incarnation > incarnation and not isinstance(
            message, Ping
        ):
            # This node has refuted something in the message, so it tells the sender its
            # new incarnation. For a Ping, the Ack does that.
            updates = (self.local_member,)
            sends.append(self._composer.compose(Gossip, sender.udp, updates=updates))
        sends += self._prober.confirm_suspicions(now)
        return sends

    def _process(self, message: Message, now: float) -> list[SendDatagram]:
        correction = self._merge_sender(message, now)
        if correction is not None and not correction.is_in_service:
            # The updates of a removed member are ignored, except those about this node,
            # until it has refuted its removal.
            self._reject_as(RejectReason.SENDER_GONE, message)
            own_id = self.local_member.node_id
            self._merge_updates(
                [u for u in message.updates if u.node_id == own_id], now
            )
            return self._dispatch(message, correction, now)
        stale, has_changes = self._merge_updates(message.updates, now)
        sends = self._dispatch(message, correction, now)
        if isinstance(message, StatePart):
            sends += self._handle_part(message, stale, has_changes, now)
        return sends

    @property
    def _is_stopped(self) -> bool:
        return self.local_member.state is MemberState.LEFT or self._records.stood_down

    def _remove_senders(self) -> None:
        for node_id in self._records.newly_forgotten:
            self._replays.remove(node_id)
        self._records.newly_forgotten.clear()

    def _detect_pause(self, now: float) -> None:
        """Detect that this process was paused, and reset what became outdated."""
        gap_s = now - self._last_call_at
        self._last_call_at = max(now, self._last_call_at)
        if gap_s <= 2 * TICK_INTERVAL_S:
            return
        self._prober.postpone(gap_s)
        members = self._records.table.count_in_service() + 1
        if gap_s <= compute_suspicion_s(members) or self._is_stopped:
            return
        self._records.restart_timers(now)
        self._prober.clear()
        self._last_received_at = now
        self._records.renew_incarnation(0)
        if gap_s >= UNREACHABLE_RETENTION_S:
            # Other nodes may have removed members that are still in this table.
            self._records.clear()
            self._exchange.restart()
        self._exchange.request_soon(now)
        paused = ProcessPaused(gap_s)
        self._records.outcomes.append(paused)
        if self._on_pause is not None:
            self._on_pause(paused)

    def _handle_own_id(self, message: Message, now: float) -> list[SendDatagram]:
        if message.sender.boot_id == self.local_member.boot_id:
            return self._reject_as(RejectReason.OWN_ECHO, message)
        self._records.merge_record(message.sender, now)
        # The sender is another process with the id of this node. If it is still alive,
        # it must learn of this process, so it gets this record directly.
        return [
            self._composer.compose(
                Gossip, message.sender.udp, updates=(self.local_member,)
            )
        ]

    def _merge_sender(self, message: Message, now: float) -> Member | None:
        """Merge the sender's own record; return the known record if it is newer."""
        sender = message.sender
        merge = self._records.merge_record(sender, now)
        self._prober.admit_new_members()
        if sender.revision > self.local_member.revision:
            seen = RevisionSeen(sender.node_id, sender.revision)
            self._records.outcomes.append(seen)
        known = self._records.table.get(sender.node_id)
        if known is None or merge is MergeResult.NEWER:
            return None
        if known.state or known.boot_id != sender.boot_id:
            return known
        return known if known.incarnation > sender.incarnation else None

    def _merge_updates(
        self, updates: Iterable[Member], now: float
    ) -> tuple[list[Member], bool]:
        """Merge updates.

        Returns the known records that are newer than an update, and whether any
        update changed the table.
        """
        stale = []
        has_changes = False
        for update in updates:
            merge = self._records.merge_record(update, now)
            has_changes |= merge is MergeResult.NEWER
            if merge is MergeResult.STALE:
                stale.append(self._records.table.get(update.node_id))
        self._prober.admit_new_members()
        return stale, has_changes

    def _dispatch(
        self, message: Message, correction: Member | None, now: float
    ) -> list[SendDatagram]:
        address = message.sender.udp
        if isinstance(message, Ping):
            return self._answer_ping(message, correction)
        sends: list[SendDatagram] = []
        if correction is not None:
            sends.append(self._composer.compose(Gossip, address, first=correction))
        if isinstance(message, Ack):
            answers = self._prober.handle_ack(message, now)
            if answers is None:
                answers = self._reject_as(RejectReason.UNEXPECTED_ACK, message)
            sends += answers
        elif isinstance(message, PingRequest):
            sends += self._prober.relay(message, now)
        elif isinstance(message, StateRequest):
            sends += self._exchange.answer(message, now)
        return sends

    def _answer_ping(self, ping: Ping, correction: Member | None) -> list[SendDatagram]:
        if ping.target != self.local_member.node_id:
            return self._reject_as(RejectReason.MISDIRECTED, ping)
        probe, subject = ping.probe, self.local_member.node_id
        ack = self._composer.compose(
            Ack, ping.sender.udp, first=correction, probe=probe, subject=subject
        )
        return [ack]

    def _handle_part(
        self, part: StatePart, stale: list[Member], has_changes: bool, now: float
    ) -> list[SendDatagram]:
        was_joined = self.is_joined
        sends = self._exchange.handle_part(part, has_changes, now)
        if self.is_joined and not was_joined:
            joined = InitialSyncDone(self._records.table.count_in_service())
            self._records.outcomes.append(joined)
            self._exchange.request_soon(now)
        if stale:
            peer = part.sender.udp
            sends.append(self._composer.compose_bounded(Gossip, peer, stale))
        return sends

    def _reject_as(self, reason: RejectReason, message: Message) -> list[SendDatagram]:
        kind = type(message).__name__
        return self._reject(Rejected(reason, f"{kind} of {message.sender.node_id}"))

    def _reject(self, rejected: Rejected) -> list[SendDatagram]:
        self.counts[rejected.reason.value] += 1
        # A flood of invalid datagrams must not displace outcomes about members.
        if len(self._records.outcomes) < REJECTIONS_MAX:
            self._records.outcomes.append(rejected)
        return []
