"""Test how soon a change of the configuration reaches the processes that run on."""

import random

from behave import given, then, when
from expression import Error, Ok

from features.steps.sidecar_decisions_steps import make_route
from features.steps.sidecar_fleet_steps import GossipingNode
from features.support.loop import TestLoop
from flamingobank.core import ServiceName, VirtualClock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import (
    FleetStore,
    FleetStoreError,
    StoreEpoch,
    StorePosition,
    TableReading,
)
from flamingobank.sidecar.fleet.routes import RequestLimits, RoutingTable
from flamingobank.sidecar.fleet.store_sync import StoreSync
from flamingobank.sidecar.metrics import SidecarMetrics

PROPAGATION_S = 2.0
ANSWER_S = 0.004
# Time to fetch the table from a peer that announced it.
FETCH_S = 0.005
STEP_S = 0.02


class OperatedStore:
    """A store whose configuration the operator changes; the version is its revision."""

    def __init__(self, loop):
        self.loop = loop
        self.version = 1
        self.unavailable = False
        self._waiting = []

    def change(self):
        """Confirm a new version, and answer the watches that wait for it."""
        self.version += 1
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

    def wait_for_change(self, answer):
        """Call back on the next change."""
        self._waiting.append(answer)

    def read(self):
        """Return the table of the current version, or an error."""
        if self.unavailable:
            return Error(FleetStoreError.UNAVAILABLE)
        services = frozenset([ServiceName("orders")])
        table = RoutingTable(self.version, (make_route(),), services, RequestLimits())
        position = StorePosition(StoreEpoch(0), self.version)
        return Ok(TableReading(table, position, self.loop.poller.found_after))


class StoreConnection(FleetStore):
    """One process's calls to the store, which end when the process vanishes."""

    def __init__(self, store):
        self.epoch = StoreEpoch(0)
        self.store = store
        self.cut = False
        self.calls = 0
        self._open_calls = 0

    @property
    def is_called(self):
        """Return whether a call is open."""
        return self._open_calls > 0

    def read_table(self, callback):
        """Return the current table."""
        self._answer_later(ANSWER_S, lambda: callback(self.store.read()))

    def await_table(self, position, wait_s, callback):
        """Return the table as soon as it is newer, or nothing after the wait."""
        if self.store.version > position.revision or self.store.unavailable:
            self.read_table(callback)
            return
        answered = []

        def answer():
            if not answered:
                answered.append(True)
                self._end_call(lambda: callback(self._read_since(position)))

        self._begin_call()
        self.store.wait_for_change(lambda: self._call_after(ANSWER_S, answer))
        self._call_after(wait_s, answer)

    def list_peers(self, callback):
        """Return no records: the processes know one another."""
        self._answer_later(ANSWER_S, lambda: callback(Ok([])))

    def save_peer(self, record, timeout_s, callback):
        """Confirm the write."""
        self._answer_later(ANSWER_S, lambda: callback(Ok(None)))

    def remove_peer(self, record, callback):
        """Confirm the removal."""
        self._answer_later(ANSWER_S, lambda: callback(Ok(None)))

    def _read_since(self, position):
        if self.store.version > position.revision or self.store.unavailable:
            return self.store.read()
        arrived_after = self.store.loop.poller.found_after
        return Ok(TableReading(None, position, arrived_after))

    def _answer_later(self, seconds, answer):
        self._begin_call()
        self._call_after(seconds, lambda: self._end_call(answer))

    def _call_after(self, seconds, callback):
        timers = self.store.loop.timers
        timers.call_at(self.store.loop.clock.now() + seconds, callback)

    def _begin_call(self):
        self.calls += 1
        self._open_calls += 1

    def _end_call(self, answer):
        self._open_calls -= 1
        if not self.cut:
            answer()


class FollowingProcess(GossipingNode):
    """A process that follows the store's configuration and its peers' versions."""

    def __init__(self, loop, store, name, seed):
        super().__init__(loop, name, seed=seed)
        self.loop = loop
        self.version = 0
        self.running = True
        self.store = StoreConnection(store)
        self.sync = StoreSync(
            loop.clock,
            loop.timers,
            self.rng,
            EventLog(name),
            SidecarMetrics({"node": name}),
            self.store,
            self.table,
            PROPAGATION_S,
        )
        self.sync.on_newer_reading = self.gossip.announce_reading
        self.sync.on_table = lambda table: self.apply(table.version)
        self.gossip.get_reading_age_s = lambda: self.sync.reading_age_s
        self.gossip.on_digest = self.receive_digest

    def apply(self, version):
        """Put a newer version in force."""
        if version > self.version and self.running:
            self.version = version
            self.gossip.set_version(version)

    def receive_digest(self, peer, version, age_s):
        """Take over what a peer knows, fetching a newer version from it."""
        self.sync.note_reading_age(age_s)
        if version > self.version:
            self.loop.timers.call_at(
                self.loop.clock.now() + FETCH_S, lambda: self.apply(version)
            )

    def vanish(self):
        """Lose power: nothing is sent, received or answered any more."""
        self.running = False
        self.sync.stopping = True
        self.store.cut = True
        self.lose_peers()

    def lose_peers(self):
        """Send and receive no more gossip."""
        self.loss_rate = 1.0
        self.gossip._endpoint.close()


def _advance(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.loop.advance(STEP_S, turns=2)


@given("{count:d} processes that follow the store, with the random seed {seed:d}")
def step_follow(context, count, seed):
    loop = context.loop = TestLoop(VirtualClock(100.0))
    context.rng = random.Random(seed)
    context.store = OperatedStore(loop)
    context.processes = [
        FollowingProcess(loop, context.store, f"n{i}", seed) for i in range(count)
    ]
    for process in context.processes:
        for other in context.processes:
            process.table.merge(other.table.local_record, 100.0)
    for process in context.processes:
        loop.timers.call_at(100.0 + context.rng.uniform(0, 0.3), process.sync.start)
    _advance(context, 4 + context.rng.uniform(0, 1.2))
    assert all(process.version == 1 for process in context.processes)


@when("all watchers vanish just after a reading, and the configuration changes at once")
def step_watchers_vanish(context):
    watchers = [p for p in context.processes if p.sync.is_watcher()]
    others = [p for p in context.processes if not p.sync.is_watcher()]
    assert len(watchers) == 4
    for _ in range(500):
        newest_age_s = min(process.sync.reading_age_s for process in watchers)
        if newest_age_s <= STEP_S and not any(p.store.is_called for p in others):
            break
        _advance(context, STEP_S)
    else:
        raise AssertionError("others call the store all the time")
    _vanish_then_change(context, watchers, 0)


@when(
    "{count:d} of them vanish, but no watcher, and the configuration changes "
    "{delay_ms:d} ms later"
)
def step_most_vanish(context, count, delay_ms):
    others = [p for p in context.processes if not p.sync.is_watcher()]
    _vanish_then_change(context, context.rng.sample(others, count), delay_ms / 1000)


@when("one that is no watcher loses its peers and the configuration changes 3 s later")
def step_lose_peers(context):
    others = [p for p in context.processes if not p.sync.is_watcher()]
    context.alone = context.rng.choice(others)
    context.alone.lose_peers()
    _vanish_then_change(context, [], 3)


@then("that process has the change within 2 seconds")
def step_alone_in_force(context):
    _advance(context, 2)
    assert context.alone.version == 2


def _vanish_then_change(context, vanishing, delay_s):
    for process in vanishing:
        process.vanish()
    _advance(context, delay_s)
    context.store.change()
    context.changed_at = context.loop.clock.now()


@then("another process has the change within 1 second, and all within 2 seconds")
def step_noticed(context):
    _advance(context, 1)
    assert any(process.version == 2 for process in _list_running(context))
    step_in_force(context, 1)


@then("every other process has the change within {seconds:d} second")
@then("every other process has the change within {seconds:d} seconds")
def step_in_force(context, seconds):
    _advance(context, seconds)
    late = [p.table.local_record.node for p in _list_running(context) if p.version < 2]
    assert not late, f"{len(late)} of {len(_list_running(context))} are late: {late}"


@when("the store is unavailable for {seconds:d} seconds")
def step_unavailable(context, seconds):
    context.store.unavailable = True
    before = sum(process.store.calls for process in context.processes)
    _advance(context, seconds)
    after = sum(process.store.calls for process in context.processes)
    context.calls_per_process = (after - before) / len(context.processes)


@then(
    "a process calls it once to notice that, and once in each further 2 of the "
    "{seconds:d} seconds"
)
def step_rarely_called(context, seconds):
    assert context.calls_per_process <= 1 + (seconds - 1) / 2


def _list_running(context):
    return [process for process in context.processes if process.running]
