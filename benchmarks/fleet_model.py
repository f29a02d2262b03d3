"""Run the Membership of many nodes over a simulated network in virtual time."""

import random
import time
from collections import Counter
from collections.abc import Callable

from benchmarks.events import EventQueue
from flamingobank.core import BootId, FailureDomain, NodeId
from flamingobank.membership import (
    TICK_INTERVAL_S,
    Address,
    Member,
    Membership,
    MembershipOutcome,
    SendDatagram,
    decode_datagram,
    encode_datagram,
)

SECRET = b"a secret for the model only"
PORT = 7946


class ModelNode:
    """A simulated node process and the measurements taken of it."""

    def __init__(self, name: str, domain: str, region: str) -> None:
        self.name = NodeId(name)
        self.domain = FailureDomain(domain)
        self.region = region
        self.address: Address = (name, PORT)
        self.boot_count = 0
        self.is_running = False
        self.is_paused = False
        self.membership: Membership | None = None
        self.queued_datagrams: list[bytes] = []
        self.outcomes: list[tuple[float, MembershipOutcome]] = []
        self.cpu_s = 0.0
        self.datagrams = 0
        self.bytes = 0
        self.largest = 0


class FleetModel:
    """A fleet whose network can delay, lose, duplicate and block datagrams.

    is_blocked(sender, receiver) tells whether the network drops all datagrams of that
    direction.
    """

    def __init__(self, seed: int) -> None:
        self.queue = EventQueue()
        self.rng = random.Random(seed)
        self.nodes: dict[NodeId, ModelNode] = {}
        self.loss = 0.0
        self.duplication = 0.0
        # Each datagram draws its own delay, so datagrams can also arrive out of order.
        self.max_delay_s = 0.004
        self.is_blocked: Callable[[ModelNode, ModelNode], bool] = lambda _, __: False
        self.rejections: Counter[str] = Counter()
        self._by_address: dict[Address, ModelNode] = {}

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.queue.clock.now()

    def add(self, name: str, domain: str, region: str) -> ModelNode:
        """Add a process without starting it."""
        node = ModelNode(name, domain, region)
        self.nodes[node.name] = node
        self._by_address[node.address] = node
        return node

    def start(self, node: ModelNode, seeds: list[Address]) -> None:
        """Start a process with a new boot id and none of its former state."""
        node.boot_count += 1
        local_member = Member(
            node_id=node.name,
            boot_id=BootId(f"{int(self.now * 1000):012x}-{node.boot_count}"),
            udp=node.address,
            tcp=(node.address[0], PORT + 1),
            failure_domain=node.domain,
            region=node.region,
        )
        rng = random.Random(self.rng.getrandbits(64))
        node.membership = Membership(local_member, seeds, rng, self.now)
        node.is_running = True
        node.is_paused = False
        node.queued_datagrams.clear()
        self._schedule_tick(node, node.membership, rng.uniform(0, TICK_INTERVAL_S))

    def stop(self, node: ModelNode) -> None:
        """Kill a process; its state is lost."""
        node.is_running = False
        node.membership = None

    def pause(self, node: ModelNode, seconds: float) -> None:
        """Pause a process for some seconds.

        Datagrams that arrive meanwhile are queued and handled when it resumes.
        """
        node.is_paused = True
        membership = node.membership
        self.queue.call_after(seconds, lambda: self._resume(node, membership))

    def run(self, seconds: float) -> None:
        """Run the fleet for a number of seconds of virtual time."""
        self.queue.run_until(self.now + seconds)

    def send(self, node: ModelNode, sends: list[SendDatagram]) -> None:
        """Encode messages, count them and their CPU time, and transmit them."""
        for send in sends:
            started = time.perf_counter()
            data = encode_datagram(send.message, SECRET)
            node.cpu_s += time.perf_counter() - started
            node.datagrams += 1
            node.bytes += len(data)
            node.largest = max(node.largest, len(data))
            self.transmit(node, send.address, data)

    def transmit(self, node: ModelNode, address: Address, data: bytes) -> None:
        """Deliver one datagram under the faults of the network, which may lose it."""
        target = self._by_address.get(address)
        if target is None or self.is_blocked(node, target):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay_s = self.rng.uniform(0.1, 1.0) * self.max_delay_s
            self.queue.call_after(delay_s, lambda: self._receive(target, data))

    def _receive(self, node: ModelNode, data: bytes) -> None:
        if not node.is_running:
            return
        if node.is_paused:
            node.queued_datagrams.append(data)
            return
        membership = node.membership
        started = time.perf_counter()
        message = decode_datagram(data, [SECRET])
        sends = membership.handle(message.merge(), self.now)
        node.cpu_s += time.perf_counter() - started
        self._take_outcomes(node)
        self.send(node, sends)

    def _schedule_tick(
        self, node: ModelNode, membership: Membership, delay_s: float
    ) -> None:
        self.queue.call_after(delay_s, lambda: self._tick(node, membership))

    def _tick(self, node: ModelNode, membership: Membership) -> None:
        if node.membership is not membership or node.is_paused:
            return
        started = time.perf_counter()
        sends = membership.tick(self.now)
        node.cpu_s += time.perf_counter() - started
        self._take_outcomes(node)
        self.send(node, sends)
        self._schedule_tick(node, membership, TICK_INTERVAL_S)

    def _resume(self, node: ModelNode, membership: Membership | None) -> None:
        if node.membership is not membership or membership is None:
            return
        node.is_paused = False
        queued_datagrams = list(node.queued_datagrams)
        node.queued_datagrams.clear()
        for data in queued_datagrams:
            self._receive(node, data)
        self._tick(node, membership)

    def _take_outcomes(self, node: ModelNode) -> None:
        for outcome in node.membership.take_outcomes():
            node.outcomes.append((self.now, outcome))
