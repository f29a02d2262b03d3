"""Probe members directly and, if they do not answer, through helpers."""

import random

from flamingobank.core import Revision
from flamingobank.membership.composer import Composer
from flamingobank.membership.messages import (
    Ack,
    Member,
    Ping,
    PingRequest,
    SendDatagram,
)
from flamingobank.membership.probes import (
    PROBE_INTERVAL_S,
    Probe,
    ProbeSchedule,
)
from flamingobank.membership.records import Records

HELPER_COUNT = 3
# Expected number of members in the whole fleet that check a reported suspicion.
CONFIRMING_MEMBERS = 4
LOST_PROBE_INTERVAL_S = 5.0
# A node that has received nothing for this long, which is two probe intervals, may
# itself be the cause of failed probes.
SILENCE_TIMEOUT_S = 2.0
# Limits a query of revisions to the budget for control traffic of one second.
REVISION_QUERY_MEMBERS_MAX = 60
# Probe number of revision queries. An Ack with it only reports a revision.
REVISION_QUERY_PROBE = 0


class Prober:
    """Sends the probes of one node and processes their answers."""

    def __init__(
        self, records: Records, composer: Composer, rng: random.Random, now: float
    ) -> None:
        self._records = records
        self._composer = composer
        self._rng = rng
        self._probes = ProbeSchedule(rng)
        # Random, so that nodes that restart together do not synchronize their probes.
        self._next_probe_at = now + rng.uniform(0.0, PROBE_INTERVAL_S)
        self._next_lost_probe_at = now + rng.uniform(0.0, LOST_PROBE_INTERVAL_S)

    def tick(self, now: float, received_at: float) -> list[SendDatagram]:
        """Send the probes that are due and suspect members whose probes failed.

        received_at is the time at which the last datagram was received.
        """
        sends: list[SendDatagram] = []
        for probe in self._probes.take_indirect(now):
            sends += self._ask_helpers(probe)
        for probe in self._probes.take_failed(now):
            # A node that receives nothing keeps its suspicions to itself; otherwise it
            # would make the fleet suspect all members.
            disseminate = now - received_at < SILENCE_TIMEOUT_S
            self._records.suspect(probe.target, now, disseminate)
        if now >= self._next_probe_at:
            self._next_probe_at = max(self._next_probe_at + PROBE_INTERVAL_S, now)
            sends += self._probe_next(now)
        if now >= self._next_lost_probe_at:
            self._next_lost_probe_at = now + LOST_PROBE_INTERVAL_S
            sends += self._probe_lost(now)
        return sends

    def admit_new_members(self) -> None:
        """Add members that came into service to the current probe round."""
        for node_id in self._records.newly_in_service:
            self._probes.insert(node_id)
        self._records.newly_in_service.clear()

    def confirm_suspicions(self, now: float) -> list[SendDatagram]:
        """Probe each newly suspected member with a certain probability.

        The probability is such that about CONFIRMING_MEMBERS nodes of the fleet do so.
        The ping tells a suspect at once that it is suspected, so that it can refute.
        """
        sends: list[SendDatagram] = []
        members = self._records.table.count_in_service() + 1
        for node_id in self._records.newly_suspected:
            member = self._records.table.get(node_id)
            if member is None or self._rng.random() * members >= CONFIRMING_MEMBERS:
                continue
            sends.append(self._probe(member, now, can_suspect=False))
        self._records.newly_suspected.clear()
        return sends

    def request_revisions(self, revision: Revision) -> list[SendDatagram]:
        """Return pings to members that are not known to have applied a revision."""
        members = self._records.table.list_in_service()
        behind = [item for item in members if item.revision < revision]
        if len(behind) > REVISION_QUERY_MEMBERS_MAX:
            behind = self._rng.sample(behind, REVISION_QUERY_MEMBERS_MAX)
        return [self._ping(REVISION_QUERY_PROBE, item) for item in behind]

    def handle_ack(self, ack: Ack, now: float) -> list[SendDatagram] | None:
        """End the probe that an Ack answers; return None if no such probe was sent."""
        if ack.probe == REVISION_QUERY_PROBE and ack.subject == ack.sender.node_id:
            return []
        relay = self._probes.finish_relay(ack.probe, ack.subject)
        if relay is not None:
            return [
                self._composer.compose(
                    Ack, relay.origin, probe=relay.probe, subject=relay.target
                )
            ]
        if not self._probes.was_issued(ack.probe):
            return None
        # Several helpers may answer the same probe, and answers may arrive late.
        if self._probes.finish(ack.probe, ack.subject) is None:
            return []
        subject = self._records.table.get(ack.subject)
        if subject is not None:
            self._records.record_ack(subject.region, now)
        return []

    def relay(self, request: PingRequest, now: float) -> list[SendDatagram]:
        """Probe a target on behalf of another member."""
        origin = request.sender.udp
        number = self._probes.start_relay(origin, request.probe, request.target, now)
        if number is None:
            return []
        return [
            self._composer.compose(
                Ping, request.target_udp, probe=number, target=request.target
            )
        ]

    def postpone(self, delay_s: float) -> None:
        """Extend pending probes by the time for which this process was paused."""
        self._probes.postpone(delay_s)

    def clear(self) -> None:
        """Drop all probes."""
        self._probes.clear()

    def _probe_next(self, now: float) -> list[SendDatagram]:
        target = self._probes.choose_target(self._records)
        if target is None:
            return []
        return [self._probe(self._records.table.get(target), now)]

    def _probe_lost(self, now: float) -> list[SendDatagram]:
        lost = self._records.list_lost()
        if not lost:
            return []
        return [self._probe(self._rng.choice(lost), now, can_suspect=False)]

    def _probe(
        self, member: Member, now: float, can_suspect: bool = True
    ) -> SendDatagram:
        probe = self._probes.start(member.node_id, now, can_suspect)
        return self._ping(probe.number, member)

    def _ping(self, number: int, member: Member) -> SendDatagram:
        # If this node does not consider the member alive, the ping carries that record
        # so that the member can refute it.
        first = None if not member.state else member
        return self._composer.compose(
            Ping, member.udp, first=first, probe=number, target=member.node_id
        )

    def _ask_helpers(self, probe: Probe) -> list[SendDatagram]:
        target = self._records.table.get(probe.target)
        if target is None:
            return []
        return [
            self._composer.compose(
                PingRequest,
                helper.udp,
                probe=probe.number,
                target=target.node_id,
                target_udp=target.udp,
            )
            for helper in self._choose_helpers(target)
        ]

    def _choose_helpers(self, target: Member) -> list[Member]:
        own_domain = self._records.local_member.failure_domain
        table = self._records.table

        def is_elsewhere(member: Member) -> bool:
            return (
                member.failure_domain != own_domain
                and member.node_id != target.node_id
                and not member.state
            )

        helpers = table.pick(1, self._rng, is_elsewhere)
        excluded = {target.node_id, *(item.node_id for item in helpers)}
        helpers += table.pick(
            HELPER_COUNT - len(helpers),
            self._rng,
            lambda member: member.node_id not in excluded and not member.state,
        )
        return helpers
