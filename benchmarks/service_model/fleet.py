"""Build a fleet from entries, homes and servers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.events import EventQueue
from benchmarks.service_model.entries import ModelEntry, NaiveEntry, ProductEntry
from benchmarks.service_model.gossip import CrashGossip
from benchmarks.service_model.homes import ModelHome, NaiveHome, ProductHome
from benchmarks.service_model.requests import Request
from benchmarks.service_model.servers import SLOTS, ModelServer
from flamingobank.core import InstanceId


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of nodes and servers in the fleet."""

    nodes: int = 4
    servers_per_home: int = 4

    @property
    def slots(self) -> int:
        """Return the number of slots of the service."""
        return self.nodes * self.servers_per_home * SLOTS


@dataclass(frozen=True, slots=True)
class Fleet:
    """One modelled fleet, in which each node is both an entry and a home."""

    events: EventQueue
    entries: list[ModelEntry]
    homes: list[ModelHome]
    servers: list[ModelServer]

    def run(self, requests: Iterable[Request], end_s: float) -> list[Request]:
        """Send the requests to random entries and run the model until end_s."""
        requests = list(requests)
        rng = random.Random(len(requests))
        for request in requests:
            self.schedule(request, rng)
        self.events.run_until(end_s)
        return requests

    def schedule(self, request: Request, rng: random.Random) -> None:
        """Send one request to a random entry at its arrival time."""
        entry = rng.choice(self.entries)
        self.events.call_at(request.arrival_s, lambda: entry.accept(request))


def build_fleet(product: bool, size: FleetSize, seed: int) -> Fleet:
    """Build a fleet that follows flamingobank's rules, or else naive rules.

    With naive rules, entries use the homes in turn and retry at once after an error or
    a timeout, and homes queue requests in order of arrival.
    """
    rng = random.Random(seed)
    events = EventQueue()
    servers = [
        ModelServer(InstanceId(f"server-{index}"), events)
        for index in range(size.nodes * size.servers_per_home)
    ]
    shares = [servers[index :: size.nodes] for index in range(size.nodes)]
    if not product:
        homes: list[ModelHome] = [NaiveHome(events, share) for share in shares]
        entries: list[ModelEntry] = [NaiveEntry(events, homes, rng) for _ in shares]
        return Fleet(events, entries, homes, servers)
    nodes = [CrashGossip(events, rng) for _ in shares]
    for node in nodes:
        node.peers = nodes
    homes = [
        ProductHome(events, share, node)
        for share, node in zip(shares, nodes, strict=True)
    ]
    entries = [ProductEntry(events, homes, rng, node) for node in nodes]
    return Fleet(events, entries, homes, servers)
