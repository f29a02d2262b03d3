"""Run processes that follow a configuration store over loopback sockets."""

import random
from dataclasses import replace

from features.steps.sidecar_decisions_steps import make_record
from features.support.loop import LOCAL, TestLoop
from flamingobank.core import VirtualClock
from flamingobank.platform.store import ObjectStore
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.gossip import PeerGossip
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.fleet.store_sync import StoreSync
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.store import LoopTransport
from flamingobank_standins.platform.store import PlatformStore
from tools.soak.proxy import LinkProxy, ProxyMode

PROPAGATION_S = 2.0
STEP_S = 0.02
# Turns of the loop in which a call and its answer pass through the proxy.
TURNS = 8


def make_configuration(version, prefixes=("/safe/",)):
    """Return the operator's document with one route for each prefix."""
    routes = [
        {
            "resource-kind": "routes",
            "metadata": {"name": prefix.strip("/")},
            "specification": {
                "host": "x.example",
                "path-prefix": prefix,
                "kind": "safe",
                "service": "orders",
            },
        }
        for prefix in prefixes
    ]
    service = {
        "resource-kind": "services",
        "metadata": {"name": "orders"},
        "specification": {},
    }
    return {"version": f"{version:08x}", "resources": [*routes, service]}


class StoreWorld:
    """The store's stand-in behind a proxy, and the loop of all processes."""

    def __init__(self):
        self.loop = TestLoop(VirtualClock(100.0))
        parts = (self.loop.poller, self.loop.timers, self.loop.clock)
        self.store = PlatformStore(*parts, LOCAL)
        self.proxy = LinkProxy(*parts, random.Random(1), LOCAL, self.store.address)
        self.version = 0
        self.change_configuration()

    def change_configuration(self):
        """Write a new version of the configuration as the operator does."""
        self.version += 1
        self.store.put("config", "main", make_configuration(self.version))

    def silence_connections(self):
        """Lose what is sent on the open connections, and keep them open."""
        for link in self.proxy.links:
            link.mode = ProxyMode.SILENT

    def advance(self, seconds):
        """Let virtual time pass in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.loop.advance(STEP_S, turns=TURNS)


class StoreFollower:
    """A process that follows the store through its real client."""

    def __init__(self, world, name, seed=1, peers=()):
        loop = world.loop
        self.table = PeerTable(make_record(name))
        for number, peer in enumerate(peers):
            self.table.merge(make_record(peer, host=f"10.0.1.{number}"), 0.0)
        self.transport = LoopTransport(
            loop.poller, loop.timers, loop.clock, world.proxy.address, token=""
        )
        self.versions = []
        self.sync = StoreSync(
            loop.clock,
            loop.timers,
            random.Random(f"{name}{seed}"),
            EventLog(name),
            SidecarMetrics({"node": name}),
            ObjectStore(self.transport, EventLog(name)),
            self.table,
            PROPAGATION_S,
        )
        self.sync.on_table = lambda table: self.versions.append(table.version)

    @property
    def version(self):
        """Return the version in force, 0 before any."""
        return max(self.versions, default=0)


class GossipingFollower(StoreFollower):
    """A process that follows the store and gossips with the others."""

    def __init__(self, world, name):
        super().__init__(world, name)
        loop = world.loop
        self.gossip = PeerGossip(
            loop.poller,
            loop.timers,
            loop.clock,
            random.Random(name),
            EventLog(name),
            self.table,
            LOCAL,
        )
        address = self.gossip._endpoint.address
        self.table.local_record = replace(self.table.local_record, address=address)
        self.table.update_local()
        self.sync.on_peers = self.gossip.add_records
        self.sync.on_newer_reading = self.gossip.announce_reading
        self.sync.on_unsaved_peers = self.gossip.report_unsaved
        self.gossip.on_unsaved = self.sync.record_writer.save_again
        self.gossip.get_reading_age_s = lambda: self.sync.reading_age_s
        self.gossip.on_digest = lambda peer, version, age_s: self.sync.note_reading_age(
            age_s
        )
