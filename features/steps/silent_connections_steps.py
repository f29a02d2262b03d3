"""Test how connections that have gone silent are noticed and replaced."""

import random
from itertools import cycle

from behave import given, then, when

from features.steps.sidecar_decisions_steps import make_record, make_route
from features.support.linked import LinkedHarness
from features.support.loop import LOCAL, TestLoop
from features.support.sidecar import RecordingRequest
from features.support.store_follower import StoreFollower, StoreWorld
from flamingobank.core import ServiceName, VirtualClock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind, RoutingTable
from flamingobank.sidecar.links.channels import PeerObserver
from flamingobank.sidecar.links.links import LinkObserver, LinkPool
from flamingobank.sidecar.links.messages import PROTOCOL_VERSION, Hello, TablePull
from flamingobank.sidecar.routing_table_sync import RoutingTableSync
from tools.soak.proxy import LinkProxy, ProxyMode

PEERS = [f"n{number}" for number in range(25)]
# Time in which a process has read the store and its connections are idle or watching.
SETTLED_S = 5.0


@given(
    "{process} that reaches the store but none of its peers, with random seed {seed:d}"
)
def step_follower(context, process, seed):
    context.world = StoreWorld()
    is_watcher = process == "a watcher"
    for name in PEERS:
        follower = StoreFollower(
            context.world, name, seed, [peer for peer in PEERS if peer != name]
        )
        if follower.sync.is_watcher() == is_watcher:
            break
    context.follower = follower
    follower.sync.start()
    context.world.advance(SETTLED_S + random.Random(seed).uniform(0, 1.2))
    assert follower.version == 1


@when("its connections to the store go silent and the configuration changes")
def step_silence(context):
    context.world.silence_connections()
    context.world.change_configuration()
    context.expected_version = 2


@then("it has the change within {seconds:d} seconds")
def step_has_change(context, seconds):
    context.world.advance(seconds)
    assert context.follower.version == context.expected_version


class StubEntry:
    """The part of an entry that holds the routing table."""

    def __init__(self):
        self.table = None


class TableNode(LinkObserver, PeerObserver):
    """A process that exchanges routing tables with a peer over a link."""

    def __init__(self, loop, name):
        self.links = LinkPool(
            loop.poller,
            loop.timers,
            loop.clock,
            random.Random(name),
            EventLog(name),
            Hello(PROTOCOL_VERSION, name, f"{name}-boot"),
        )
        self.links.observer = self
        self.address = self.links.listen(LOCAL, self)
        self.sync = RoutingTableSync(
            loop.clock,
            loop.timers,
            EventLog(name),
            self.links,
            StubEntry(),
            lambda version: None,
        )

    def on_control_message(self, link, message):
        """Take a table that the peer sent."""
        self.sync.take(message, "peer")

    def on_peer_message(self, channel, message):
        """Answer a request for the table."""
        self.sync.answer_pull(channel)

    def on_channel_closed(self, channel):
        """Do nothing."""

    def apply(self, version):
        """Put a version of the table in force."""
        services = frozenset([ServiceName("orders")])
        table = RoutingTable(version, (make_route(),), services, RequestLimits())
        self.sync.apply(table, "store")


def _connect(context, count):
    """Start a process and peers with the same table, and a link to each peer."""
    loop = context.loop = TestLoop(VirtualClock(100.0))
    context.process = TableNode(loop, "own")
    context.peers, context.proxies, context.records = [], [], []
    for number in range(count):
        peer = TableNode(loop, f"peer-{number}")
        peer.apply(1)
        proxy = LinkProxy(
            loop.poller,
            loop.timers,
            loop.clock,
            random.Random(number),
            LOCAL,
            peer.address,
        )
        context.peers.append(peer)
        context.proxies.append(proxy)
        context.records.append(make_record(f"peer-{number}", address=proxy.address))
        context.process.links.get(proxy.address).send(TablePull())
    loop.run_until(lambda: context.process.sync.version == 1, "first table")
    loop.advance(5, turns=20)


def _silence(context):
    for proxy in context.proxies:
        assert proxy.links
        for link in proxy.links:
            link.mode = ProxyMode.SILENT
    for peer in context.peers:
        peer.apply(2)


@given("a process that has got its configuration from a peer")
def step_table_from_peer(context):
    _connect(context, 1)


@given("a process that has links to {count:d} peers")
def step_links_to_peers(context, count):
    _connect(context, count)


@when("their link goes silent and the peer announces a newer version each 0.4 seconds")
def step_link_silent(context):
    _silence(context)
    context.announce_s = 0.4


@when("all links go silent and a peer announces a newer version each 0.2 seconds")
def step_links_silent(context):
    _silence(context)
    context.announce_s = 0.2


@then("the process has the newer version within {seconds:d} second")
@then("the process has the newer version within {seconds:d} seconds")
def step_newer_version(context, seconds):
    started_at = context.loop.clock.now()
    announcing = cycle(context.records)
    announce_at = started_at
    while context.loop.clock.now() < started_at + seconds:
        if context.loop.clock.now() >= announce_at:
            announce_at += context.announce_s
            context.process.sync.note_version(next(announcing), 2)
        context.loop.advance(0.02, turns=8)
    assert context.process.sync.version == 2


@given("an entry with links to {count:d} homes whose servers work for {work:g} s")
def step_linked_homes(context, count, work):
    context.linked_homes = count
    context.work_s = work


@when("all its links go silent {when}, and {kind} request has {budget:g} s of time")
def step_all_silent(context, when, kind, budget):
    route_kind = RouteKind.UNSAFE if kind == "an unsafe" else RouteKind.SAFE
    harness = context.linked = LinkedHarness(
        route_kind, context.linked_homes, context.work_s, timeout_s=budget
    )
    harness.request.headers = [
        (name, b"%d" % (1000 * budget) if name == b"deadline-milliseconds" else value)
        for name, value in harness.request.headers
    ]
    harness.connect()
    if when == "before the request comes":
        _silence_homes(harness)
        harness.take()
        return
    harness.take()
    harness.loop.run_until(
        lambda: any(home.runs for home in harness.linked), "the request runs"
    )
    _silence_homes(harness)


def _silence_homes(harness):
    for home in harness.linked:
        assert home.proxy.links
        home.silence()


@then("its caller gets {statuses} within {limit:g} s")
def step_caller_gets(context, statuses, limit):
    _await_answer(context.linked, limit)
    assert str(context.linked.final) in statuses.split(" or "), context.linked.final


def _await_answer(harness, limit):
    started_at = harness.loop.clock.now()
    while not harness.request.answers:
        assert harness.loop.clock.now() < started_at + limit, "no answer"
        harness.pass_time(0.02)


def _count_runs(harness):
    return sum(home.runs for home in harness.linked)


@then("it has run {times}")
def step_has_run_times(context, times):
    context.linked.pass_time(1)
    least, most = {"never": (0, 0), "once": (1, 1), "at most twice": (1, 2)}[times]
    assert least <= _count_runs(context.linked) <= most, times


@then("another request {delay:d} s later gets {status:d} within {limit:d} s")
def step_another(context, delay, status, limit):
    harness = context.linked
    harness.pass_time(delay)
    harness.request = RecordingRequest(harness.loop.clock.now(), RouteKind.SAFE)
    harness.take()
    _await_answer(harness, limit)
    assert harness.final == status, harness.request.answers
