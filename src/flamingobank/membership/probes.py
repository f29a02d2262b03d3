"""Schedule probes and track those that are not answered yet."""

import random
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.membership.messages import Address
from flamingobank.membership.records import Records

PROBE_INTERVAL_S = 1.0
INDIRECT_AFTER_S = 0.3
# Leaves indirect probes enough time for two round trips between distant regions.
FAIL_AFTER_S = 0.7
# After this time, the origin of a relayed probe has no more use for the answer.
RELAY_TTL_S = 1.0
# Limits the memory that a hostile or faulty peer can use up.
RELAYS_MAX = 256


@dataclass(slots=True)
class Probe:
    """An unanswered probe of this node."""

    number: int
    target: NodeId
    started_at: float
    # False for probes that check a suspicion or look for lost members: an answer shows
    # that the member is alive, but a missing answer raises no suspicion.
    can_suspect: bool = True
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A probe that is made on behalf of another member."""

    origin: Address
    probe: int
    target: NodeId
    expires_at: float


class ProbeSchedule:
    """Probe targets in random order, each member once per round, and pending probes."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[NodeId] = []
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        # Numbers start at one; zero is REVISION_QUERY_PROBE.
        self._number = 0

    def choose_target(self, records: Records) -> NodeId | None:
        """Return the next member of the round, or None if no member is in service."""
        for _ in range(2):
            while self._round:
                node_id = self._round.pop()
                member = records.table.get(node_id)
                if member is not None and member.is_in_service:
                    return node_id
            members = records.table.list_in_service()
            self._round = [member.node_id for member in members]
            self._rng.shuffle(self._round)
        return None

    def insert(self, node_id: NodeId) -> None:
        """Insert a new member at a random position of the current round."""
        if not self._round:
            return
        self._round.insert(self._rng.randint(0, len(self._round)), node_id)

    def start(self, target: NodeId, now: float, can_suspect: bool = True) -> Probe:
        """Register and return a new probe."""
        self._number += 1
        probe = Probe(self._number, target, now, can_suspect)
        self._probes[probe.number] = probe
        return probe

    def was_issued(self, number: int) -> bool:
        """Return whether a probe or relay with this number was started."""
        return 0 < number <= self._number

    def finish(self, number: int, subject: NodeId) -> Probe | None:
        """Remove and return an answered probe, or None if it is not pending."""
        probe = self._probes.get(number)
        if probe is None or probe.target != subject:
            return None
        return self._probes.pop(number)

    def start_relay(
        self, origin: Address, probe: int, target: NodeId, now: float
    ) -> int | None:
        """Return the number for a probe on behalf of another member.

        Returns None if too many relays are pending.
        """
        if len(self._relays) >= RELAYS_MAX:
            return None
        self._number += 1
        self._relays[self._number] = Relay(origin, probe, target, now + RELAY_TTL_S)
        return self._number

    def finish_relay(self, number: int, subject: NodeId) -> Relay | None:
        """Remove and return an answered relay, or None if it is not pending."""
        relay = self._relays.get(number)
        if relay is None or relay.target != subject:
            return None
        return self._relays.pop(number)

    def take_indirect(self, now: float) -> list[Probe]:
        """Return the probes that are now due to be repeated through helpers."""
        due = []
        for probe in self._probes.values():
            if probe.is_indirect or not probe.can_suspect:
                continue
            if now - probe.started_at < INDIRECT_AFTER_S:
                continue
            probe.is_indirect = True
            due.append(probe)
        return due

    def take_failed(self, now: float) -> list[Probe]:
        """Remove expired probes; return those whose failure raises a suspicion."""
        failed = [
            probe
            for probe in self._probes.values()
            if now - probe.started_at >= FAIL_AFTER_S
        ]
        for probe in failed:
            del self._probes[probe.number]
        for number, relay in list(self._relays.items()):
            if now >= relay.expires_at:
                del self._relays[number]
        return [probe for probe in failed if probe.can_suspect]

    def postpone(self, delay_s: float) -> None:
        """Extend pending probes by the time for which this process was paused."""
        for probe in self._probes.values():
            probe.started_at += delay_s

    def clear(self) -> None:
        """Drop all probes, relays and the current round."""
        self._round.clear()
        self._probes.clear()
        self._relays.clear()
