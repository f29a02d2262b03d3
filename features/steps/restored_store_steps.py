"""Test what processes do after the store came back from an older copy."""

from behave import given, then, when

from features.support.store_follower import GossipingFollower, StoreWorld
from flamingobank.core import InstanceId
from flamingobank.platform.store import PEER_KIND
from flamingobank.sidecar.fleet.peers import unpack_record
from flamingobank_standins.platform.store import StoreMode

AWAY_S = 1.0
DEPARTURE = (InstanceId("i-1"), 100)


@when("the store loses a change, and another one gets the same revision")
def step_lost_change(context):
    world = context.world
    copy = world.store.take_copy()
    world.change_configuration()
    world.advance(2)
    assert context.follower.version == 2
    world.store.mode = StoreMode.RESETTING
    world.advance(AWAY_S)
    world.store.mode = StoreMode.SERVING
    world.store.restore(copy)
    world.change_configuration()
    context.expected_version = 3


@given("a store that was copied before {count:d} processes saved their records")
def step_copied_before(context, count):
    context.world = StoreWorld()
    context.copy = context.world.store.take_copy()
    _start_processes(context, count)


@given("{count:d} processes that saved their records, and a copy of the store")
def step_copied_after(context, count):
    context.world = StoreWorld()
    _start_processes(context, count)
    context.copy = context.world.store.take_copy()


def _start_processes(context, count):
    context.processes = [
        GossipingFollower(context.world, f"n{number}") for number in range(count)
    ]
    for process in context.processes:
        process.sync.start()
    context.world.advance(4)
    assert sorted(_list_saved(context)) == [f"n{number}" for number in range(count)]


@given("one that is no watcher then acknowledges and saves a departure")
def step_departure(context):
    _acknowledge_departure(context)
    assert _has_departure(context)


def _acknowledge_departure(context):
    context.leaving = _find_non_watcher(context)
    assert _save_departure(context, 0.5) == [True]


def _save_departure(context, seconds):
    """Save a departure; return whether it was saved, if that is known in time."""
    answers = []
    context.leaving.gossip.publish(departures=(DEPARTURE,))
    context.leaving.sync.record_writer.save_departures(answers.append)
    context.world.advance(seconds)
    return answers


@when("it is away for 2 seconds, and a server of one that is no watcher leaves")
def step_departure_while_away(context):
    store = context.world.store
    store.mode = StoreMode.BUSY
    context.world.advance(0.5)
    context.leaving = _find_non_watcher(context)
    context.answers = _save_departure(context, 1.5)
    assert not _has_departure(context)
    store.mode = StoreMode.SERVING


@then("the departure is not confirmed within a second")
def step_not_confirmed(context):
    assert context.answers == [False]


@when("it is away for half a second and comes back from that copy")
def step_comes_back(context):
    store = context.world.store
    store.mode = StoreMode.RESETTING
    context.world.advance(0.5)
    store.restore(context.copy)
    store.mode = StoreMode.SERVING


@then("the store has the records of all processes after {seconds:d} seconds")
def step_records_back(context, seconds):
    context.world.advance(seconds)
    names = sorted(process.table.local_record.node for process in context.processes)
    assert sorted(_list_saved(context)) == names, _list_saved(context)


@then("the store has the departure after {seconds:d} seconds")
def step_departure_back(context, seconds):
    context.world.advance(seconds)
    assert _has_departure(context)


def _list_saved(context):
    return [
        process.table.local_record.node
        for process in context.processes
        if context.world.store.find(PEER_KIND, process.table.local_record.node)
    ]


def _has_departure(context):
    saved = _find_saved(context)
    return saved is not None and DEPARTURE in saved.departures


@given("one that is no watcher then leaves, after {departures}")
def step_leaves(context, departures):
    if departures == "a departure of its server":
        _acknowledge_departure(context)
    else:
        context.leaving = _find_non_watcher(context)
    context.leaving.sync.stopping = True
    context.leaving.gossip.leave()
    context.leaving.sync.record_writer.retire()
    context.world.advance(0.5)
    context.leaving.gossip._endpoint.close()


@then("the store has no record of it after {seconds:d} seconds")
def step_no_record(context, seconds):
    context.world.advance(seconds)
    assert _find_saved(context) is None


@then("the store has its record as left, with the departure after {seconds:d} seconds")
def step_left_record(context, seconds):
    context.world.advance(seconds)
    assert _find_saved(context).left
    assert _has_departure(context)


def _find_saved(context):
    node = context.leaving.table.local_record.node
    saved = context.world.store.find(PEER_KIND, node)
    return unpack_record(saved["record"]) if saved is not None else None


def _find_non_watcher(context):
    return next(p for p in context.processes if not p.sync.is_watcher())
