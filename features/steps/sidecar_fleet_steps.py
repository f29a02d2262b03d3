"""Test how sidecars discover each other and receive the configuration."""

import random
from dataclasses import replace

import msgpack
from behave import given, then, when
from expression import Error, Ok

from features.steps.sidecar_decisions_steps import make_record, make_route
from features.support.loop import LOCAL, TestLoop
from flamingobank.core import FailureDomain, InstanceId, ServiceName, VirtualClock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import (
    FleetStore,
    FleetStoreError,
    StoreEpoch,
    StorePosition,
    TableReading,
)
from flamingobank.sidecar.fleet.gossip import DatagramKind, PeerGossip
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.fleet.routes import RequestLimits, RoutingTable
from flamingobank.sidecar.fleet.store_sync import StoreSync
from flamingobank.sidecar.metrics import SidecarMetrics

DEPARTURE = (InstanceId("i-1"), 100)
PROPAGATION_S = 2.0


class GossipingNode:
    """One process's peer table and its gossip on a loopback socket."""

    def __init__(
        self,
        loop,
        name,
        incarnation=1,
        loss_rate=0.0,
        seed=1,
        domain="graz-a",
    ):
        self.rng = random.Random(f"{name}{seed}")
        local_record = make_record(
            name, incarnation, failure_domain=FailureDomain(domain)
        )
        # The failure domain of each address, and the copies of changed records that
        # this process sent to other domains.
        self.domains = {}
        self.remote_copies = 0
        self.table = PeerTable(local_record)
        self.gossip = PeerGossip(
            loop.poller,
            loop.timers,
            loop.clock,
            self.rng,
            EventLog(name),
            self.table,
            LOCAL,
        )
        address = self.gossip._endpoint.address
        self.table.local_record = replace(local_record, address=address)
        self.table.update_local()
        self.previous_records = []
        self.gossip.on_previous_record = self.previous_records.append
        self.sent_bytes = 0
        self.loss_rate = loss_rate
        self.send = self.gossip._endpoint.send
        self.gossip._endpoint.send = self.send_counted

    def send_counted(self, data, address):
        """Count a datagram's bytes, and send it unless it is lost at random."""
        self.sent_bytes += len(data)
        domain = self.table.local_record.failure_domain
        if self.domains.get(address, domain) != domain:
            kind, _, fields = msgpack.unpackb(data)
            if kind == DatagramKind.DIGEST:
                self.remote_copies += len(fields[3])
        if self.rng.random() >= self.loss_rate:
            self.send(data, address)


def _gossip(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.loop.advance(0.1, turns=4)


@given("a peer that knows a departure that the previous process acknowledged")
def step_peer_knows(context):
    context.loop = TestLoop(VirtualClock(100.0))
    context.peer = GossipingNode(context.loop, "peer")
    former = make_record("own", 5, 9, "10.9.9.9", departures=(DEPARTURE,), left=True)
    context.peer.table.merge(former, 100.0)


@when("the process restarts and finds that peer")
def step_restart(context):
    context.node = GossipingNode(context.loop, "own", incarnation=50)
    context.node.gossip.add_records([context.peer.table.local_record])
    _gossip(context, 2)


@then("it restores the departure and its record replaces the previous one")
def step_restored(context):
    assert any(
        DEPARTURE in record.departures for record in context.node.previous_records
    )
    assert context.peer.table.find("own") == context.node.table.local_record


@given("{count:d} processes that know only the first of them")
def step_new_processes(context, count):
    context.loop = TestLoop(VirtualClock(100.0))
    context.nodes = [GossipingNode(context.loop, f"n{i}") for i in range(count)]
    for node in context.nodes[1:]:
        node.gossip.add_records([context.nodes[0].table.local_record])


@given("{count:d} processes that know one another and lose a third of the datagrams")
def step_datagram_loss(context, count):
    context.loop = TestLoop(VirtualClock(100.0))
    context.nodes = [
        GossipingNode(context.loop, f"n{i}", loss_rate=0.33) for i in range(count)
    ]
    for node in context.nodes:
        for other in context.nodes:
            node.table.merge(other.table.local_record, 100.0)


@given("{count:d} processes in {domains:d} failure domains that know one another")
def step_domains(context, count, domains):
    context.loop = TestLoop(VirtualClock(100.0))
    context.nodes = []
    for i in range(count):
        node = GossipingNode(context.loop, f"n{i}", domain=f"d{i % domains}")
        context.nodes.append(node)
    records = {node.table.local_record.address: node for node in context.nodes}
    for node in context.nodes:
        node.domains = {
            address: other.table.local_record.failure_domain
            for address, other in records.items()
        }
        for other in context.nodes:
            node.table.merge(other.table.local_record, 100.0)


@then("at most {limit:d} copies of the record went to other failure domains")
def step_remote_copies(context, limit):
    copies = sum(node.remote_copies for node in context.nodes)
    assert 0 < copies <= limit, copies


@when("they gossip for {seconds:d} seconds")
def step_gossip(context, seconds):
    _gossip(context, seconds)


@when(
    "one of them publishes that its server left and they gossip for {seconds:d} seconds"
)
def step_publish(context, seconds):
    context.nodes[2].gossip.publish(serving=False)
    _gossip(context, seconds)


@then("all have the same records")
def step_same_records(context):
    assert len({node.table.digest for node in context.nodes}) == 1
    for node in context.nodes:
        assert len(node.table) == len(context.nodes) - 1


class ScriptedStore(FleetStore):
    """A store that answers calls after 4 ms, or with errors while it is unavailable."""

    def __init__(self, loop):
        self.epoch = StoreEpoch(0)
        self.loop = loop
        self.records = {}
        self.calls = []
        self.unavailable = False
        self.history_gone = False
        self.version = 7

    def read_table(self, callback):
        """Return the table."""
        self.history_gone = False
        routes = (make_route(),)
        services = frozenset([ServiceName("orders")])
        table = RoutingTable(self.version, routes, services, RequestLimits())
        position = StorePosition(self.epoch, 30)
        reading = TableReading(table, position, self.loop.clock.now())
        self._answer("read", Ok(reading), callback)

    def await_table(self, position, wait_s, callback):
        """Return nothing new after the wait."""
        if self.history_gone:
            self._answer("watch", Error(FleetStoreError.HISTORY_GONE), callback)
            return
        reading = TableReading(None, position, self.loop.clock.now() + wait_s)
        self._answer("watch", Ok(reading), callback, wait_s)

    def list_peers(self, callback):
        """Return the records as they are when the call arrives."""
        self._answer("list", Ok(list(self.records.values())), callback)

    def save_peer(self, record, timeout_s, callback):
        """Store a record, which is visible once the call is answered."""

        def store(result):
            self.records[record.node] = record
            callback(result)

        self._answer("save", Ok(None), store)

    def remove_peer(self, record, callback):
        """Answer the call; the record stays."""
        self._answer("remove", Ok(None), callback)

    def _answer(self, operation, result, callback, wait_s=0.004):
        now = self.loop.clock.now()
        self.calls.append((now, operation))
        if self.unavailable:
            result, wait_s = Error(FleetStoreError.UNAVAILABLE), 0.004
        self.loop.timers.call_at(now + wait_s, lambda: callback(result))


def _make_sync(loop, store, name, peers=()):
    table = PeerTable(make_record(name))
    for number, peer in enumerate(peers):
        if peer != name:
            table.merge(make_record(peer, host=f"10.0.1.{number}"), 0.0)
    sync = StoreSync(
        loop.clock,
        loop.timers,
        random.Random(name),
        EventLog(name),
        SidecarMetrics({"node": name}),
        store,
        table,
        PROPAGATION_S,
    )
    sync.tables = []
    sync.on_table = sync.tables.append
    return sync


@given("{count:d} processes of which only the four watchers read the store")
def step_watchers(context, count):
    loop = context.loop = TestLoop(VirtualClock(100.0))
    names = [f"n{i}" for i in range(count)]
    context.syncs = []
    for name in names:
        store = ScriptedStore(loop)
        sync = _make_sync(loop, store, name, names)
        sync.store = store
        context.syncs.append(sync)
        sync.start()
    context.watchers = [sync for sync in context.syncs if sync.is_watcher()]
    assert len(context.watchers) == 4
    _spread_ages(context, 3)


def _spread_ages(context, seconds):
    for _ in range(int(seconds / 0.2)):
        context.loop.advance(0.2)
        # Replaces gossip, which tells all processes the age of the newest reading.
        newest = min(sync.reading_age_s for sync in context.syncs)
        for sync in context.syncs:
            sync.note_reading_age(newest)


@when("the watchers lose the store for 10 seconds")
def step_cut_watchers(context):
    context.undisturbed_from = context.loop.clock.now()
    _spread_ages(context, 5)
    context.undisturbed_to = context.loop.clock.now()
    for sync in context.watchers:
        sync.store.unavailable = True
    _spread_ages(context, 10)


@then("others read it meanwhile, and an undisturbed second has at most 8 calls")
def step_others_read(context):
    assert min(sync.reading_age_s for sync in context.syncs) < 5
    others = [sync for sync in context.syncs if sync not in context.watchers]
    takeover_calls = [
        time
        for sync in others
        for time, _ in sync.store.calls
        if time > context.undisturbed_to
    ]
    assert takeover_calls
    undisturbed_calls = [
        time
        for sync in context.syncs
        for time, _ in sync.store.calls
        if context.undisturbed_from <= time < context.undisturbed_to
    ]
    assert len(undisturbed_calls) <= 8 * (
        context.undisturbed_to - context.undisturbed_from
    ), len(undisturbed_calls)


@given("a store that has dropped its history")
def step_dropped_history(context):
    context.loop = TestLoop(VirtualClock(100.0))
    context.store = ScriptedStore(context.loop)
    context.sync = _make_sync(context.loop, context.store, "n1")
    context.sync.start()
    _let_time_pass(context, 1)
    context.store.history_gone = True
    context.store.version = 9


@when("a watcher waits for changes")
def step_wait(context):
    _let_time_pass(context, 4)


@then("it reads the current configuration and watches from there")
def step_read_again(context):
    assert [table.version for table in context.sync.tables] == [7, 9]
    assert context.store.calls[-1][1] == "watch"


@given("a store that is unavailable for 20 seconds")
def step_unavailable(context):
    context.loop = TestLoop(VirtualClock(100.0))
    context.store = ScriptedStore(context.loop)
    context.store.unavailable = True
    context.sync = _make_sync(context.loop, context.store, "n1")
    context.sync.start()


@when("a watcher keeps trying")
def step_keep_trying(context):
    _let_time_pass(context, 20)
    context.calls_during_outage = len(context.store.calls)
    context.store.unavailable = False
    _let_time_pass(context, 3)


@then("it makes at most 40 calls and has the configuration 3 seconds after recovery")
def step_call_limit(context):
    assert context.calls_during_outage <= 40, context.calls_during_outage
    assert context.sync.tables


@given("a store that holds the record of the previous process")
def step_previous_record(context):
    context.loop = TestLoop(VirtualClock(100.0))
    context.store = ScriptedStore(context.loop)
    context.sync = _make_sync(context.loop, context.store, "n1")


@when("the process starts")
def step_start(context):
    context.sync.start()
    _let_time_pass(context, 1)


@then("it lists the records before it writes its own")
def step_listed_first(context):
    operations = [operation for _, operation in context.store.calls]
    assert operations.index("list") < operations.index("save"), operations


def _let_time_pass(context, seconds):
    for _ in range(int(seconds / 0.05)):
        context.loop.advance(0.05)


def _start_synced(context, names, store, groups=()):
    loop = context.loop
    context.nodes = []
    for number, name in enumerate(names):
        node = GossipingNode(loop, name)
        node.sync = StoreSync(
            loop.clock,
            loop.timers,
            random.Random(name),
            EventLog(name),
            SidecarMetrics({"node": name}),
            store,
            node.table,
            PROPAGATION_S,
        )
        node.sync.on_peers = node.gossip.add_records
        node.sync.on_newer_reading = node.gossip.announce_reading
        node.gossip.get_reading_age_s = lambda sync=node.sync: sync.reading_age_s
        node.gossip.on_digest = lambda peer, version, age_s, sync=node.sync: (
            sync.note_reading_age(age_s)
        )
        context.nodes.append(node)
        loop.timers.call_at(100.0 + number * 0.00025, node.sync.start)


@given("{count:d} processes that start within 2 milliseconds and share a store")
def step_start_together(context, count):
    context.loop = TestLoop(VirtualClock(99.9))
    store = ScriptedStore(context.loop)
    _start_synced(context, [f"n{i}" for i in range(count)], store)
    for _ in range(200):
        context.loop.advance(0.001, turns=1)


@given("2 groups of 4 processes that each know only their own group")
def step_groups(context):
    context.loop = TestLoop(VirtualClock(99.9))
    store = ScriptedStore(context.loop)
    _start_synced(context, [f"n{i}" for i in range(8)], store)
    # The store lists no records, as if each process had listed them before any other
    # had saved its own.
    list_peers = store.list_peers
    store.list_peers = lambda callback: store._answer("list", Ok([]), callback)
    for group in (context.nodes[:4], context.nodes[4:]):
        for node in group:
            for other in group:
                node.table.merge(other.table.local_record, 99.9)
    for _ in range(200):
        context.loop.advance(0.001, turns=1)
    store.list_peers = list_peers


@then("no process has sent more than {limit:d} KB a second")
def step_byte_limit(context, limit):
    # The bytes are counted over 3 s of gossip; 0.3 s more allow for the start of the
    # processes before it.
    most = max(node.sent_bytes for node in context.nodes)
    assert most <= limit * 1000 * 3.3, most
