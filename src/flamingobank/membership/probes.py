"""Schedule probes and track the ones without an answer."""

import random
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.membership.messages import Address
from flamingobank.membership.records import Records

PROBE_INTERVAL_S = 1.0
INDIRECT_AFTER_S = 0.3
# Leaves two round trips between distant regions for the indirect probes.
FAIL_AFTER_S = 0.7
# A relayed probe is of no use to its origin after this.
RELAY_TTL_S = 1.0
# Bounds what a hostile or confused peer can make this node remember.
RELAYS_MAX = 256


@dataclass(slots=True)
class Probe:
    """Track one probe of this node."""

    number: int
    target: NodeId
    started_at: float
    # Probes that confirm a suspicion or look for lost members prove life only.
    can_suspect: bool = True
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """Remember for whom a target is probed."""

    origin: Address
    probe: int
    target: NodeId
    expires_at: float


class ProbeSchedule:
    """Probe each member once a round, in an order shuffled for each round."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[NodeId] = []
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        # Zero is the number of probes whose answer only reports a revision.
        self._number = 0

    def choose_target(self, records: Records) -> NodeId | None:
        """Return the next member of the round."""
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
        """Give a new member a random place in the running round."""
        if not self._round:
            return
        self._round.insert(self._rng.randint(0, len(self._round)), node_id)

    def start(self, target: NodeId, now: float, can_suspect: bool = True) -> Probe:
        """Track a new probe."""
        self._number += 1
        probe = Probe(self._number, target, now, can_suspect)
        self._probes[probe.number] = probe
        return probe

    def was_issued(self, number: int) -> bool:
        """Tell whether a probe or relay of this number was started."""
        return 0 < number <= self._number

    def finish(self, number: int, subject: NodeId) -> Probe | None:
        """End a probe that was answered; None when it does not wait."""
        probe = self._probes.get(number)
        if probe is None or probe.target != subject:
            return None
        return self._probes.pop(number)

    def start_relay(
        self, origin: Address, probe: int, target: NodeId, now: float
    ) -> int | None:
        """Return the number for a probe on behalf of another member."""
        if len(self._relays) >= RELAYS_MAX:
            return None
        self._number += 1
        self._relays[self._number] = Relay(origin, probe, target, now + RELAY_TTL_S)
        return self._number

    def finish_relay(self, number: int, subject: NodeId) -> Relay | None:
        """End a relayed probe that was answered."""
        relay = self._relays.get(number)
        if relay is None or relay.target != subject:
            return None
        return self._relays.pop(number)

    def take_indirect(self, now: float) -> list[Probe]:
        """Return the probes that now need helpers."""
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
        """Return the probes that nobody answered."""
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
        """Give waiting probes the time that this process did not run."""
        for probe in self._probes.values():
            probe.started_at += delay_s

    def clear(self) -> None:
        """Forget all probes."""
        self._round.clear()
        self._probes.clear()
        self._relays.clear()
