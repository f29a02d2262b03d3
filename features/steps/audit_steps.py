"""Check the audit trail against the entries that were added."""

import json
import random

from behave import given, then, when
from hypothesis import given as draw, settings, strategies as st

from flamingobank.audit import (
    AuditEntry,
    AuditFilter,
    AuditTrail,
    format_hour,
    is_expired,
    select_entries,
)
from flamingobank.core import VirtualClock
from flamingobank.store import CallFailed, StoreAnswer
from flamingobank.store.operations import Finished
from flamingobank.store.writes import PutOperation
from flamingobank_standins.store import ObjectStore, ReceivedCall

WALL_S = 1_800_000_000


def make_trail(seed=1):
    """Return a trail with its clock and its store."""
    clock = VirtualClock()
    return AuditTrail("node-1.e1", clock, random.Random(seed)), clock, ObjectStore()


def make_entry(trail, number, who="ada", evidence=""):
    """Return an entry that differs from all others."""
    when_ms = (WALL_S + number) * 1000
    what = f"service s{number % 3}"
    result = "accepted" if number % 2 else "conflict"
    entry_id = trail.new_entry_id()
    return AuditEntry(entry_id, who, what, when_ms, "1", "2", result, evidence)


def write_due(trail, clock, store, fault="ok"):
    """Write the batch that is due, with one kind of fault.

    "away" answers every call with 503, "lost" loses the answer to the first call,
    and "lost-long" loses it and answers all later calls with 503.
    """
    batch = trail.tick(clock.now(), WALL_S + clock.now())
    if batch is None:
        return
    rng, now = random.Random(1), clock.now()
    operation = PutOperation(
        "audit", batch.name, batch.spec, batch.write_id, None, now + 1.0, rng
    )
    step, first = operation.begin(), True
    while not isinstance(step, Finished):
        now += step.delay_s + 0.01
        answer = StoreAnswer(503, {}, b"")
        if fault == "ok" or (first and fault in ("lost", "lost-long")):
            headers = {name.lower(): value for name, value in step.call.headers}
            call = ReceivedCall(
                step.call.method, step.call.target, {}, headers, step.call.body
            )
            reply = store.handle(call, now).reply
            answer = StoreAnswer(reply.status, {}, json.dumps(reply.body).encode())
        if first and fault in ("lost", "lost-long"):
            answer = CallFailed("closed", sent=True)
        if fault == "lost":
            fault = "ok"
        step, first = operation.handle_answer(answer, now), False
    trail.on_written(step.result, clock.now())


def read_all(store, selection=None):
    """Return the selected entries of the store."""
    specs = [item.spec for item in store.table.list_after("audit", "", 10_000)]
    return select_entries(specs, selection or AuditFilter())


@then("{count:d} random audit histories end with each entry in the store once")
def step_histories(context, count):
    action = st.tuples(
        st.integers(0, 3), st.sampled_from(["ok", "lost", "lost-long", "away"])
    )
    fixed = settings(max_examples=count, derandomize=True, database=None, deadline=None)
    fixed(draw(st.lists(action, max_size=40))(check_history))()


def check_history(actions):
    """Add and write entries under faults; all are in the store once."""
    trail, clock, store = make_trail()
    added = []
    for count, fate in actions:
        for _ in range(count):
            added.append(make_entry(trail, len(added)))
            trail.add(added[-1])
        clock.advance(3.0)
        write_due(trail, clock, store, fate)
    for _ in range(20):
        clock.advance(100.0)
        write_due(trail, clock, store)
    assert len(trail) == 0
    stored = [
        value["id"]
        for item in store.table.list_after("audit", "", 10_000)
        for value in item.spec["entries"]
    ]
    assert sorted(stored) == sorted(entry.entry_id for entry in added), stored
    assert read_all(store) == added


@given("an audit trail in virtual time")
def step_trail(context):
    context.trail, context.clock, context.store = make_trail()


@when("{count:d} audit entries are added while the store is unavailable")
def step_many(context, count):
    for number in range(count):
        context.trail.add(make_entry(context.trail, number))


@then(
    "at most {limit:d} audit entries are buffered and "
    "{dropped:d} dropped ones are reported"
)
def step_bounded(context, limit, dropped):
    assert len(context.trail) <= limit, len(context.trail)
    assert context.trail.dropped == dropped, context.trail.dropped
    for _ in range(10):
        context.clock.advance(100.0)
        write_due(context.trail, context.clock, context.store)
    found = read_all(context.store)
    reports = [entry for entry in found if entry.result == "dropped"]
    assert [entry.to_value for entry in reports] == [str(dropped)], reports
    assert len(found) == 6000 - dropped + 1, len(found)


@when("audit entries of {operators:d} operators are written over {hours:d} hours")
def step_written(context, operators, hours):
    context.entries = []
    for number in range(0, hours * 3600, 601):
        entry = make_entry(context.trail, number, who=f"operator-{number % operators}")
        context.entries.append(entry)
        context.trail.add(entry)
        context.clock.advance_to(number + 10.0)
        write_due(context.trail, context.clock, context.store)


@then("filters over the audit trail select exactly the matching entries")
def step_filters(context):
    start_ms = WALL_S * 1000
    selections = [
        AuditFilter(),
        AuditFilter(who="operator-0", result="conflict"),
        AuditFilter(what="service s0", since_ms=start_ms + 7_200_000),
        AuditFilter(since_ms=start_ms + 3_600_000, until_ms=start_ms + 7_200_000),
    ]
    for selection in selections:
        expected = [entry for entry in context.entries if selection.matches(entry)]
        assert expected and read_all(context.store, selection) == expected, selection
    assert len(read_all(context.store, selections[-1])) == 6
    names = [item.name for item in context.store.table.list_after("audit", "", 99)]
    assert all(name >= format_hour(WALL_S) for name in names), names
    assert not is_expired(names[0], WALL_S + 80_000, 86_400)
    assert is_expired(names[0], WALL_S + 91_000, 86_400)


@when("{count:d} audit entries with the largest evidence are added")
def step_large(context, count):
    for number in range(count):
        entry = make_entry(context.trail, number, evidence="\u00e4" * 9000)
        context.trail.add(entry)
        if number % 10 == 9:
            context.clock.advance(100.0)
            write_due(context.trail, context.clock, context.store)
    for _ in range(10):
        context.clock.advance(100.0)
        write_due(context.trail, context.clock, context.store)


@then("every audit object is below {limit:d} bytes")
def step_small(context, limit):
    items = context.store.table.list_after("audit", "", 99)
    sizes = [len(json.dumps(item.spec)) for item in items]
    assert max(sizes) < limit, sizes
    assert len(read_all(context.store)) == 100
