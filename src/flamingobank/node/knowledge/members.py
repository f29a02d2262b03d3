"""Run the membership protocol on a datagram endpoint and timers."""

import random
from collections.abc import Callable, Sequence

import eliot

from flamingobank.core import BootId, Clock, FailureDomain, NodeId, Revision
from flamingobank.loop import Address, DatagramEndpoint, Poller, Timers
from flamingobank.membership import (
    TICK_INTERVAL_S,
    DuplicateAddress,
    DuplicateId,
    InitialSyncDone,
    Member,
    MemberJoined,
    MemberRemoved,
    MemberRestarted,
    Membership,
    MembershipOutcome,
    MemberUnreachable,
    ProcessPaused,
    RevisionSeen,
    SendDatagram,
    decode_datagram,
    encode_datagram,
)
from flamingobank.settings import NodeSettings

TIMER_INTERVAL_S = TICK_INTERVAL_S / 2
REVISION_REQUEST_INTERVAL_S = 0.2


class MemberObserver:
    """Callbacks for membership events; the defaults do nothing."""

    def on_initial_sync(self) -> None:
        """Handle the end of the initial sync with the fleet."""

    def on_member_joined(self, member: Member) -> None:
        """Handle a member that joined or restarted."""

    def on_member_gone(self, member: Member) -> None:
        """Handle a member that was removed or is unreachable."""

    def on_revision_seen(self, node: NodeId, revision: Revision) -> None:
        """Handle a member with a higher configuration revision than was known."""

    def on_paused(self, gap_s: float) -> None:
        """Handle a pause of this process, which lasted `gap_s`."""


class MembershipService:
    """The membership of this node, with its socket and timer."""

    def __init__(
        self,
        settings: NodeSettings,
        boot: str,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        secrets: Callable[[], Sequence[bytes]],
    ) -> None:
        self.observer = MemberObserver()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._next_revision_request_at = 0.0
        self._clock = clock
        self._secrets = secrets
        local_member = Member(
            settings.node_id,
            BootId(boot),
            settings.peers,
            settings.peers,
            settings.failure_domain,
            settings.region,
        )
        self.membership = Membership(local_member, settings.seeds, rng, clock.now())
        self._endpoint = DatagramEndpoint(poller, settings.peers, self._receive)
        timers.call_every(TIMER_INTERVAL_S, self._tick)

    def is_live(self, node: str) -> bool:
        """Return whether a node is in service; this node always is."""
        if node == self.membership.local_member.node_id:
            return True
        member = self.membership.find(NodeId(node))
        return member is not None and member.is_in_service

    def find_address(self, node: NodeId) -> Address | None:
        """Return the link address of a node, or None if it is not in service."""
        member = self.membership.find(node)
        if member is None or not member.is_in_service:
            return None
        return member.tcp

    def pick_addresses(self, count: int) -> list[Address]:
        """Return the link addresses of up to `count` random members."""
        return [member.tcp for member in self.membership.pick(count, _accept_all)]

    def pick_peers(
        self, count: int, outside: FailureDomain | None, excluded: frozenset[NodeId]
    ) -> list[NodeId]:
        """Return up to `count` random members outside a domain and not in `excluded`.

        If `outside` is None, members of all domains may be returned.
        """
        picked = self.membership.pick(
            count,
            lambda member: (
                member.node_id not in excluded and member.failure_domain != outside
            ),
        )
        return [member.node_id for member in picked]

    def list_domain(self, domain: FailureDomain) -> list[NodeId]:
        """Return the nodes in service of a domain, this node included."""
        members = [self.membership.local_member, *self.membership.members()]
        return [
            member.node_id
            for member in members
            if member.failure_domain == domain and not member.leaving
        ]

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration revision that this node reports to the fleet."""
        self.membership.set_revision(revision)

    def request_revisions(self) -> None:
        """Ping members whose last known revision is lower than that of this node.

        The regular probes reach each member of a large fleet too rarely for an operator
        who waits for a revision to be in force.
        """
        now = self._clock.now()
        if now < self._next_revision_request_at:
            return
        self._next_revision_request_at = now + REVISION_REQUEST_INTERVAL_S
        self._send_all(
            self.membership.request_revisions(self.membership.local_member.revision)
        )

    def drain(self) -> None:
        """Announce to the fleet that this node is about to leave."""
        self._send_all(self.membership.drain())

    def leave(self) -> None:
        """Announce to the fleet that this node has left."""
        self._send_all(self.membership.leave())

    def _receive(self, data: bytes, address: Address) -> None:
        self.bytes_received += len(data)
        decoded = decode_datagram(data, self._secrets())
        message = decoded.error if decoded.is_error() else decoded.ok
        self._send_all(self.membership.handle(message, self._clock.now()))
        self._report_outcomes()

    def _tick(self) -> None:
        self._send_all(self.membership.tick(self._clock.now()))
        self._report_outcomes()

    def _send_all(self, sends: list[SendDatagram]) -> None:
        secret = self._secrets()[0]
        for send in sends:
            data = encode_datagram(send.message, secret)
            self.bytes_sent += len(data)
            self._endpoint.send(data, send.address)

    def _report_outcomes(self) -> None:
        for outcome in self.membership.take_outcomes():
            self._report(outcome)

    def _report(self, outcome: MembershipOutcome) -> None:
        observer = self.observer
        if isinstance(outcome, RevisionSeen):
            observer.on_revision_seen(outcome.node_id, outcome.revision)
        elif isinstance(outcome, InitialSyncDone):
            observer.on_initial_sync()
        elif isinstance(outcome, MemberJoined | MemberRestarted):
            observer.on_member_joined(outcome.member)
        elif isinstance(outcome, MemberRemoved | MemberUnreachable):
            _log("members:gone", node=outcome.member.node_id)
            observer.on_member_gone(outcome.member)
        elif isinstance(outcome, ProcessPaused):
            _log("members:paused", gap_s=outcome.gap_s)
            observer.on_paused(outcome.gap_s)
        elif isinstance(outcome, DuplicateId):
            _log(
                "members:duplicate-id",
                node=outcome.node_id,
                other=f"{outcome.other_address[0]}:{outcome.other_address[1]}",
                stands_down=outcome.stands_down,
            )
        elif isinstance(outcome, DuplicateAddress):
            _log(
                "members:duplicate-address",
                first=outcome.first,
                second=outcome.second,
            )


def _accept_all(member: Member) -> bool:
    return True


def _log(message_type: str, **fields: object) -> None:
    eliot.log_message(message_type=message_type, **fields)
