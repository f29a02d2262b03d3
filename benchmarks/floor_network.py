"""Simulation of homes that exchange floor leases over a faulty network."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.events import EventQueue
from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health import (
    EjectionDecision,
    EjectionState,
    FloorDenial,
    FloorGrant,
    FloorLedger,
    FloorMessage,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
    ServerSummary,
)
from flamingobank.objects import Floor

SERVICE = ServiceName("franchise-desk")
TICK_S = 0.1
ANNOUNCE_S = 1.0


@dataclass
class NetworkFaults:
    """Faults that affect messages between nodes."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_max_s: float = 0.002
    # (sender, receiver) pairs whose messages are all lost.
    blocked: set[tuple[NodeId, NodeId]] = field(default_factory=set)


class FloorHome:
    """Ledger of one node, with its own clock, pauses and restarts."""

    def __init__(self, fleet: "FloorFleet", node_id: NodeId, offset_s: float) -> None:
        self._fleet = fleet
        self.node_id = node_id
        self.offset_s = offset_s
        self.paused = False
        self.inbox: list[Callable[[], None]] = []
        self.epoch = 1
        self.ledger = FloorLedger(node_id, self.epoch, self.now())

    def now(self) -> float:
        """Return the time on the node's own clock."""
        return self._fleet.events.clock.now() + self.offset_s

    def restart(self) -> None:
        """Start a new process with an empty ledger."""
        self.epoch += 1
        self.paused = False
        self.inbox.clear()
        self.ledger = FloorLedger(self.node_id, self.epoch, self.now())
        self._fleet.publish(self)

    def resume(self) -> None:
        """End a pause and run all callbacks queued during it."""
        self.paused = False
        waiting, self.inbox = self.inbox, []
        for callback in waiting:
            callback()

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback now, or at the end of the current pause."""
        if self.paused:
            self.inbox.append(callback)
            return
        callback()

    def handle(self, message: FloorMessage) -> None:
        """Process a received message and send the answer, if any."""
        now = self.now()
        if isinstance(message, FloorRequest):
            summary = self._fleet.summarize(message, now)
            self._fleet.send(self.node_id, self.ledger.answer(message, now, summary))
        elif isinstance(message, FloorGrant):
            decision = self.ledger.accept(message, now)
            self.apply(message.request.instance, decision)
        elif isinstance(message, FloorDenial):
            decision = self.ledger.decline(message, now)
            self.apply(message.request.instance, decision)
        elif isinstance(message, FloorRelease):
            self.ledger.release(message, now)
        elif isinstance(message, FloorRevocation):
            decision = self.ledger.revoke(message, now)
            self.apply(message.instance, decision)

    def apply(self, instance: InstanceId, decision: EjectionDecision) -> None:
        """Send the messages of a decision and report it to the fleet."""
        self.send_all(decision.sends)
        self._fleet.on_decision(self, instance, decision)

    def send_all(self, messages) -> None:
        """Send messages in order."""
        for message in messages:
            self._fleet.send(self.node_id, message)

    def tick(self) -> None:
        """Run the ledger's timers and send the resulting messages."""
        self.send_all(self.ledger.tick(self.now()))


class FloorFleet:
    """Homes and servers of one service; each server has one home at a time."""

    def __init__(
        self, homes: int, servers: int, floor: Floor, rng: random.Random
    ) -> None:
        self.events = EventQueue()
        self.rng = rng
        self.floor = floor
        self.faults = NetworkFaults()
        names = [NodeId(f"node-{index}") for index in range(homes)]
        self.homes = {
            name: FloorHome(self, name, rng.uniform(0.0, 1e4)) for name in names
        }
        self.home_of = {
            InstanceId(f"server-{index}"): names[index % homes]
            for index in range(servers)
        }
        self.summarize: Callable = lambda request, now: ServerSummary()
        self.on_decision: Callable = self.eject_covered
        for home in self.homes.values():
            self.publish(home)
            self._tick(home)
        for instance in self.home_of:
            self._announce(instance)

    def publish(self, home: FloorHome) -> None:
        """Pass the current servers and their homes to a home's ledger."""
        home.ledger.set_service(SERVICE, self.floor, dict(self.home_of))

    def send(self, sender: NodeId, message: FloorMessage) -> None:
        """Deliver, delay, duplicate or lose a message, depending on the faults."""
        receiver = message.destination
        home = self.homes.get(receiver)
        if home is None or (sender, receiver) in self.faults.blocked:
            return
        copies = 1 + (self.rng.random() < self.faults.duplicates)
        for _ in range(copies):
            if sender != receiver and self.rng.random() < self.faults.loss:
                continue
            delay_s = self.rng.uniform(0.0, self.faults.delay_max_s)
            self.events.call_after(
                delay_s, lambda: home.run(lambda: home.handle(message))
            )

    def request_ejection(self, instance: InstanceId, score: float) -> None:
        """Let a server's home request leases to eject it."""
        home = self.homes[self.home_of[instance]]

        def ask() -> None:
            requests = home.ledger.request_leases(SERVICE, instance, score, home.now())
            home.send_all(requests)

        home.run(ask)

    def cancel(self, instance: InstanceId) -> None:
        """Let a server's home return it to service."""
        home = self.homes[self.home_of[instance]]
        home.run(lambda: home.send_all(home.ledger.cancel(instance, home.now())))

    def set_in_service(self, instance: InstanceId, in_service: bool) -> None:
        """Let a server leave service, as by a crash or a drain, or return to it."""
        home = self.homes[self.home_of[instance]]
        home.run(
            lambda: home.send_all(
                home.ledger.set_in_service(instance, in_service, home.now())
            )
        )

    def move(self, instance: InstanceId, receiver: NodeId) -> None:
        """Let a server announce itself to another node from now on."""
        self.home_of[instance] = receiver
        for home in self.homes.values():
            delay_s = self.rng.uniform(0.0, 2.0)
            self.events.call_after(
                delay_s, lambda home=home: home.run(lambda: self.publish(home))
            )

    def list_ejected(self) -> list[InstanceId]:
        """Return the servers that their current homes have ejected."""
        return [
            instance
            for instance, home in self.home_of.items()
            if self.homes[home].ledger.is_ejected(instance, self.homes[home].now())
        ]

    def list_uncovered(self) -> list[tuple[InstanceId, InstanceId]]:
        """Return the ejected servers whose ejection is not covered.

        Each is paired with a server that its leases rely on but that is ejected too.
        """
        ejected = set(self.list_ejected())
        pairs = []
        for instance in ejected:
            home = self.homes[self.home_of[instance]]
            covering = home.ledger.list_covering_servers(instance, home.now())
            pairs += [(instance, target) for target in covering if target in ejected]
        return pairs

    def eject_covered(
        self, home: FloorHome, instance: InstanceId, decision: EjectionDecision
    ) -> None:
        """Eject a server as soon as its home has enough leases.

        Unlike the product, this does not compare the server with its peers.
        """
        if decision.state in (EjectionState.COVERED, EjectionState.PROMISED):
            home.send_all(home.ledger.eject(instance, home.now()).sends)

    def _tick(self, home: FloorHome) -> None:
        if not home.paused:
            home.tick()
        self.events.call_after(TICK_S, lambda: self._tick(home))

    def _announce(self, instance: InstanceId) -> None:
        home = self.homes[self.home_of[instance]]
        home.run(lambda: home.ledger.announce(SERVICE, instance, home.now()))
        self.events.call_after(ANNOUNCE_S, lambda: self._announce(instance))
