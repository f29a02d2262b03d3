"""Check the store stand-in, the store client and leases."""

import functools
import itertools
import json
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

from behave import given, then, when
from circuits import Manager
from hypothesis import given as draw, settings, strategies as st

from benchmarks.events import EventQueue
from flamingobank.core import MonotonicClock
from flamingobank.loop import Poller, Timers
from flamingobank.store import (
    BlockingStore,
    CallFailed,
    LeaseActionKind,
    LoopTransport,
    StoreAnswer,
    StoreClient,
    StoreErrorKind,
    StoreLease,
    Transport,
)
from flamingobank.store.operations import Finished, GetOperation
from flamingobank.store.writes import DeleteOperation, PutOperation
from flamingobank_standins.store import ObjectStore, ReceivedCall

KIND = "service"
NAMES = ("a", "b", "c/d")


def run_random(test, examples, *strategies):
    """Run a test with random examples that are the same in each run."""
    fixed = settings(
        max_examples=examples, derandomize=True, database=None, deadline=None
    )
    fixed(draw(*strategies)(test))()


def to_standin_call(call):
    """Convert a call of the client to a call that the stand-in receives."""
    url = urlsplit(call.target)
    query = dict(parse_qsl(url.query, keep_blank_values=True))
    headers = {name.lower(): value for name, value in call.headers}
    return ReceivedCall(call.method, url.path, query, headers, call.body)


def to_answer(reply):
    """Convert a reply of the stand-in to an answer for the client."""
    return StoreAnswer(reply.status, reply.headers, json.dumps(reply.body).encode())


def put_directly(store, name, text, write_id, headers, kind=KIND):
    """Write an object to the stand-in without the client."""
    body = json.dumps({"spec": {"text": text}, "write_id": write_id}).encode()
    call = ReceivedCall("PUT", f"/v1/objects/{kind}/{name}", {}, headers, body)
    return store.handle(call, 0.0).reply


@then("{count:d} random histories of store calls match a plain dictionary")
def step_differential(context, count):
    action = st.tuples(
        st.sampled_from(["create", "update", "delete", "stale", "list", "watch"]),
        st.sampled_from(NAMES),
        st.integers(1, 3),
    )

    def check(actions):
        store, model, history = ObjectStore(), {}, []
        for index, (what, name, limit) in enumerate(actions):
            apply_action(store, model, history, what, name, limit, index)
        assert store.table.revision == len(history)

    run_random(check, count, st.lists(action, max_size=40))


def apply_action(store, model, history, what, name, limit, index):
    """Make one call and compare its result with the reference.

    ``model`` is a dictionary of the objects, ``history`` the list of their changes.
    """
    path = f"/v1/objects/{KIND}/{name}"
    held = model.get(name)
    if what in ("create", "update", "stale"):
        revision = (held[0] if held else 0) + (1 if what == "stale" else 0)
        headers = {"if-match": str(revision)}
        if what == "create":
            headers = {"if-none-match": "*"}
        fits = {"create": not held, "update": bool(held), "stale": False}[what]
        reply = put_directly(store, name, str(index), f"w{index}", headers)
        assert reply.status == (200 if fits else 409), (what, reply)
        if fits:
            model[name] = (reply.body["revision"], str(index))
            history.append((name, str(index)))
    if what == "delete":
        headers = {"if-match": str(held[0] if held else 0)}
        reply = store.handle(ReceivedCall("DELETE", path, {}, headers), 0.0).reply
        assert reply.status == (200 if held else 404)
        if held:
            del model[name]
            history.append((name, None))
    if what == "list":
        assert list_pages(store, limit) == sorted(
            (name, revision, text) for name, (revision, text) in model.items()
        )
    if what == "watch":
        after = max(0, len(history) - limit)
        reply = store.handle(
            ReceivedCall("GET", "/v1/watch", {"after": str(after)}), 0.0
        ).reply
        seen = [(item["name"], item["spec"]) for item in reply.body["events"]]
        assert [(n, s["text"] if s else None) for n, s in seen] == history[after:]


def list_pages(store, limit):
    """Return all objects from a listing in pages."""
    found, after = [], ""
    while after is not None:
        query = {"kind": KIND, "after": after, "limit": str(limit)}
        body = store.handle(ReceivedCall("GET", "/v1/objects", query), 0.0).reply.body
        found += [(i["name"], i["revision"], i["spec"]["text"]) for i in body["items"]]
        after = body["next"]
    return found


CALL_FAULTS = st.lists(
    st.sampled_from(
        [
            "ok",
            "ok",
            "lost",
            "garbled",
            "dropped",
            "late",
            "unsent",
            "away",
            "throttled",
        ]
    ),
    max_size=14,
)
CONCURRENT_WRITES = st.lists(
    st.sampled_from(["", "", "", "write", "remove", "restore"]), max_size=14
)


@then("{count:d} random store writes end with a result that stays true")
def step_writes(context, count):
    def check(faults, concurrent_writes, seed):
        check_write(False, faults, concurrent_writes, seed)

    run_random(check, count, CALL_FAULTS, CONCURRENT_WRITES, SEEDS)


@then("{count:d} random store removals end with a result that stays true")
def step_removals(context, count):
    def check(faults, concurrent_writes, seed):
        check_write(True, faults, concurrent_writes, seed)

    run_random(check, count, CALL_FAULTS, CONCURRENT_WRITES, SEEDS)


SEEDS = st.integers(0, 7)


class ConcurrentWriterStore:
    """Simulate a store with concurrent writers and with calls that arrive late."""

    def __init__(self, kind, exists):
        self.kind, self.store = kind, ObjectStore()
        self.late_calls = []
        # Each state that the object had, as (revision, write id), or None if absent.
        self.states = [None]
        if exists:
            self.put("x", "old", "first", {"if-none-match": "*"})
            self.record_state()

    def put(self, name, text, write_id, headers):
        """Write an object to the stand-in without the client."""
        put_directly(self.store, name, text, write_id, headers, self.kind)

    def record_state(self):
        """Record the object's state if it has changed."""
        held = self.store.table.get(self.kind, "x")
        state = None if held is None else (held.revision, held.write_id)
        if self.states[-1] != state:
            self.states.append(state)

    def write_concurrently(self, action, index):
        """Change the object as another writer."""
        held = self.store.table.get(self.kind, "x")
        if action == "write" and held is not None:
            headers = {"if-match": str(held.revision)}
            self.put("x", "rival", f"r{index}", headers)
        if action == "remove" and held is not None:
            self.store.table.delete(self.kind, "x")
        if action == "restore" and held is None:
            self.put("x", "rival", f"r{index}", {"if-none-match": "*"})
        self.record_state()

    def deliver(self, call, fault):
        """Deliver a call subject to a fault and return the answer to its sender."""
        if fault == "unsent":
            return CallFailed("refused", sent=False)
        if fault == "away":
            return StoreAnswer(503, {}, b"{}")
        if fault == "throttled":
            return StoreAnswer(429, {"retry-after": "0"}, b"{}")
        if fault == "late":
            self.late_calls.append(call)
        if fault in ("late", "dropped"):
            return CallFailed("no answer in time", sent=True)
        reply = self.store.handle(to_standin_call(call), 0.0).reply
        self.record_state()
        if fault == "lost":
            return CallFailed("closed", sent=True)
        if fault == "garbled":
            return StoreAnswer(200, {}, b"<html>")
        return to_answer(reply)


def check_write(removal, faults, concurrent_writes, seed):
    """Run one write to its end.

    Its result must still be correct after delayed calls have arrived.
    """
    kind = KIND if seed % 3 else "key"
    if kind == "key":
        # A key record is never removed while a write for it can be in flight.
        concurrent_writes = [
            action.replace("remove", "write") for action in concurrent_writes
        ]
    shared_store = ConcurrentWriterStore(kind, exists=removal or seed % 2 == 0)
    held = shared_store.store.table.get(kind, "x")
    expected = None if held is None else held.revision
    rng = random.Random(seed)
    if removal:
        operation = DeleteOperation(kind, "x", "mine", expected, 3.0, rng)
    else:
        operation = PutOperation(kind, "x", {"t": "1"}, "mine", expected, 3.0, rng)
    now, index, step = 0.0, 0, operation.begin()
    while not isinstance(step, Finished):
        now += step.delay_s + 0.01
        shared_store.write_concurrently(
            concurrent_writes[index] if index < len(concurrent_writes) else "", index
        )
        if shared_store.late_calls and index % 2:
            shared_store.store.handle(
                to_standin_call(shared_store.late_calls.pop(0)), 0.0
            )
            shared_store.record_state()
        answer = shared_store.deliver(
            step.call, faults[index] if index < len(faults) else "ok"
        )
        step = operation.handle_answer(answer, now)
        index += 1
    for call in shared_store.late_calls:
        shared_store.store.handle(to_standin_call(call), 0.0)
        shared_store.record_state()
    if removal:
        check_removal_result(shared_store, expected, step.result)
    else:
        check_write_result(shared_store, step.result)


def check_write_result(shared_store, result):
    """Compare a write's result with all states that the object had."""
    mine = [state for state in shared_store.states if state and state[1] == "mine"]
    assert len(mine) <= 1, f"the write took effect twice: {shared_store.states}"
    if result.is_ok():
        assert mine and mine[0][0] == result.ok.revision, (shared_store.states, result)
    elif result.error.kind is not StoreErrorKind.OUTCOME_UNKNOWN:
        assert not mine, (shared_store.states, result.error)


def check_removal_result(shared_store, expected, result):
    """Compare a removal's result with all states that the object had."""
    at = next(i for i, state in enumerate(shared_store.states) if state and state[0])
    assert shared_store.states[at][0] == expected
    removed = at + 1 < len(shared_store.states) and shared_store.states[at + 1] is None
    if result.is_ok():
        assert removed or None in shared_store.states[at + 1 :], (
            shared_store.states,
            result,
        )


class VirtualTransport(Transport):
    """Pass calls to an in-memory store in virtual time."""

    def __init__(self, events, store):
        self.events, self.store = events, store
        self.in_flight, self.peaks = 0, []
        self.delay_s = 0.001

    def send(self, call, on_answer):
        """Answer a call after the store's delay."""
        now = self.events.clock.now()
        self.in_flight += 1
        self.peaks.append(self.in_flight)
        handled = self.store.handle(to_standin_call(call), now)
        delay_s = min(self.delay_s + handled.delay_s, call.timeout_s)

        def answer():
            self.in_flight -= 1
            on_answer(to_answer(handled.reply))

        self.events.call_after(delay_s, answer)


@given("a store client in virtual time")
def step_client(context):
    context.events = EventQueue()
    context.store = ObjectStore()
    context.reverts = []
    context.results = []
    context.transport = VirtualTransport(context.events, context.store)
    context.client = StoreClient(
        context.transport,
        context.events,
        context.events.clock,
        random.Random(1),
        "node-1-boot-1",
        on_revert=context.reverts.append,
    )
    put_directly(context.store, "x", "old", "w0", {"if-none-match": "*"})


def read_later(context, time_s, name):
    """Schedule a read and record its result with the time."""

    def keep(result):
        context.results.append((context.events.clock.now(), name, result))

    read = functools.partial(context.client.get, KIND, name, keep)
    context.events.call_at(time_s, read)


@when("the store is away for {away:d} seconds while the client reads every second")
def step_outage(context, away):
    context.away_until = 10 + away
    for second in range(away + 60):
        read_later(context, float(second), f"n{second}")
    faults = context.store.faults
    context.events.call_at(10.0, lambda: faults.update({"outage": "refuse"}))
    context.events.run_until(10.0)
    before = context.client.counters.calls
    context.events.run_until(context.away_until)
    context.outage_calls = context.client.counters.calls - before
    faults.update({"outage": "none"})
    context.events.run_until(context.away_until + 100.0)


@then("the client made fewer than {limit:d} store calls in the outage")
def step_outage_calls(context, limit):
    assert 0 < context.outage_calls < limit, context.outage_calls


@then("the client reads from the store again within {limit:d} seconds")
def step_recovered(context, limit):
    back = [
        at
        for at, _, result in context.results
        if at > context.away_until and result.error.kind is StoreErrorKind.NOT_FOUND
    ]
    assert back and back[0] <= context.away_until + limit, back[:1]


@when(
    "every store answer takes {delay:d} milliseconds and {count:d} reads are asked for"
)
def step_slow(context, delay, count):
    context.store.faults.update({"delay_ms": delay})
    for index in range(count):
        read_later(context, 0.0, f"n{index}")
    context.events.run_until(60.0)


@then("the store client has at most {first:d} calls in flight at first and 1 later")
def step_slow_peaks(context, first):
    peaks = context.transport.peaks
    assert max(peaks) == first and set(peaks[first:]) == {1}, peaks
    assert len(context.results) == 20, len(context.results)


@when("{count:d} identical store reads are asked for around a write")
def step_identical(context, count):
    context.transport.delay_s = 0.5
    for index in range(count):
        read_later(context, 0.01 + index / 1000, "x")
    written = []

    def write():
        context.transport.delay_s = 0.001
        context.client.put(KIND, "x", {"text": "new"}, written.append, expected=1)
        context.transport.delay_s = 0.5

    context.events.call_at(0.02, write)
    context.events.run_until(5.0)
    assert written[0].ok.revision == 2, written


@then("the store answered 2 reads and the later readers see the write")
def step_shared(context):
    assert context.store.counters.reads == 2, context.store.counters
    texts = [result.ok.spec["text"] for _, _, result in context.results]
    assert sorted(set(texts)) == ["new", "old"], texts
    # Only reads from 10 to 21 ms are sent before the answer to the write.
    assert texts.count("old") <= 13, texts


@when("the store shows an object as it was before its last write")
def step_stale(context):
    read_later(context, 0.0, "x")
    put = context.client.put
    context.events.call_at(
        1.0, lambda: put(KIND, "x", {"text": "2"}, lambda result: None, expected=1)
    )
    context.events.call_at(2.0, lambda: context.store.faults.update({"stale_next": 1}))
    read_later(context, 2.0, "x")
    context.events.run_until(3.0)


@then('the read ends with the error "{kind}" and is reported')
def step_reverted(context, kind):
    assert context.results[-1][2].error.kind.value == kind, context.results
    assert len(context.reverts) == 1 and "revision 1, 2" in str(context.reverts[0])


@when("{count:d} different store reads are asked for within {seconds:d} seconds")
def step_many(context, count, seconds):
    for index in range(count):
        read_later(context, index * seconds / count, f"n{index}")
    context.events.run_until(float(seconds))


@then("the store counted at most {limit:d} calls")
def step_counted(context, limit):
    assert 20 <= context.store.counters.reads <= limit, context.store.counters


@then("a prepaid store write does not wait for the budget")
def step_prepaid(context):
    done = []
    context.client.put(KIND, "key", {}, done.append, timeout_s=0.5)
    context.client.put(KIND, "key", {}, done.append, timeout_s=0.5, prepaid=True)
    context.events.run_until(context.events.clock.now() + 1.0)
    assert done[0].error.kind is StoreErrorKind.BUDGET and done[1].is_ok(), done


@then("a store client with a raised budget lists {count:d} objects by pages")
def step_list_all(context, count):
    for index in range(count - 1):
        context.store.table.put(KIND, f"o{index}", "w", {})
    done = []
    context.client.set_call_rate(20.0, 20.0)
    context.client.list_all("", done.append, timeout_s=30.0)
    context.events.run_until(context.events.clock.now() + 30.0)
    names = [item.name for item in done[0].ok.items]
    assert len(set(names)) == len(names) == count + 1, len(names)
    assert names == sorted(names) and done[0].ok.revision == count + 1, done[
        0
    ].ok.revision


@then("{count:d} random lease histories have at most one holder and growing tokens")
def step_leases(context, count):
    moment = st.tuples(
        st.integers(0, 2),
        st.sampled_from(["tick", "tick", "tick", "pause", "lost", "away"]),
        st.floats(0.05, 4.0),
    )
    held = []

    def check(moments, seed):
        held.append(check_leases(moments, seed))

    run_random(check, count, st.lists(moment, min_size=60, max_size=250), SEEDS)
    assert sum(held) > 1000, f"leases were held in only {sum(held)} steps"


@then("a contender never overlaps with a holder that is cut off from the store")
def step_lapse(context):
    for seed, (slow, quick) in itertools.product(range(20), ((0, 2), (2, 0))):
        store = ObjectStore()
        holder, contender = Contender(slow, seed), Contender(quick, seed + 1)
        taken_at = None
        for tenth in range(600):
            true_now = tenth / 10
            run_lease(store, holder, true_now, "tick" if true_now < 1 else "away")
            if true_now >= 0.5:
                run_lease(store, contender, true_now, "tick")
            held = holder.lease.is_held(holder.read_clock(true_now))
            if contender.lease.is_held(contender.read_clock(true_now)):
                assert not held, f"two holders at {true_now}"
                taken_at = taken_at or true_now
        assert taken_at is not None and taken_at < 30.0, taken_at


class Contender:
    """A node with one lease and a clock with its own offset and rate."""

    def __init__(self, index, seed):
        self.rate = 1.0 + (index - 1) * 0.004
        self.offset = 1000.0 * index
        self.lease = StoreLease("watch/a/0", f"node-{index}", "ip", random.Random(seed))
        self.pending = None
        self.paused_until = 0.0

    def read_clock(self, true_now):
        """Return the reading of this node's monotonic clock."""
        return self.offset + true_now * self.rate


def check_leases(moments, seed):
    """Run three contenders and check that at most one holds the lease at any time.

    Return how often a lease was held.
    """
    store = ObjectStore()
    contenders = [Contender(index, seed + index) for index in range(3)]
    true_now, held, tokens = 0.0, 0, [0]
    for index, fault, passed_s in moments:
        true_now += passed_s
        contender = contenders[index]
        if fault == "pause":
            contender.paused_until = true_now + 20.0
        if true_now >= contender.paused_until:
            run_lease(store, contender, true_now, fault)
        holders = [
            each for each in contenders if each.lease.is_held(each.read_clock(true_now))
        ]
        assert len(holders) <= 1, [each.offset for each in holders]
        for each in holders:
            held += 1
            if each.lease.token != tokens[-1]:
                assert each.lease.token > tokens[-1], (each.lease.token, tokens)
                tokens.append(each.lease.token)
    return held


def run_lease(store, contender, true_now, fault):
    """Pass the result of the pending call to the lease, then make its next call.

    The result of that call is passed on at the contender's next turn.
    """
    now = contender.read_clock(true_now)
    lease = contender.lease
    if contender.pending is not None:
        action, result = contender.pending
        contender.pending = None
        if action.kind is LeaseActionKind.READ:
            contender.pending = start_call(
                store, lease.on_read(result, now), fault, now
            )
        else:
            lease.on_written(action, result, now)
    if contender.pending is None:
        contender.pending = start_call(store, lease.tick(now), fault, now)


def start_call(store, action, fault, now):
    """Execute a lease's action at the store, and return the action and its result.

    ``run_lease`` passes the result to the lease at a later time.
    """
    if action is None:
        return None
    rng = random.Random(1)
    if action.kind is LeaseActionKind.READ:
        operation = GetOperation("lease", action.name, now + 1.0, rng)
    else:
        operation = PutOperation(
            "lease", action.name, action.spec, f"{now}", action.expected, now + 1.0, rng
        )
    step, first = operation.begin(), True
    while not isinstance(step, Finished):
        now += step.delay_s + 0.01
        answer = CallFailed("no answer", sent=fault == "lost")
        if fault != "away" and not (fault == "lost" and not first and now % 1 > 0.5):
            reply = store.handle(to_standin_call(step.call), now).reply
            if not (fault == "lost" and first):
                answer = to_answer(reply)
        step, first = operation.handle_answer(answer, now), False
    return action, step.result


@given("a store process")
def step_process(context):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        context.address = probe.getsockname()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    token_file = Path(folder.name) / "token"
    token_file.write_text("secret\n")
    command = [sys.executable, "-m", "flamingobank_standins.store", "--listen"]
    command += [f"127.0.0.1:{context.address[1]}", "--token-file", str(token_file)]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)

    def stop():
        process.terminate()
        process.wait(10)

    context.add_cleanup(stop)
    for _ in range(200):
        with socket.socket() as probe:
            if probe.connect_ex(context.address) == 0:
                return
        time.sleep(0.05)
    raise AssertionError("the store process does not accept connections")


@then("the blocking client writes, reads, conflicts and survives a lost answer")
def step_blocking(context):
    client = BlockingStore(context.address, "secret", "cli", random.Random(1))
    written = client.put(KIND, "x", {"text": "ä" * 1000}).ok
    assert client.get(KIND, "x").ok.spec == {"text": "ä" * 1000}
    conflict = client.put(KIND, "x", {}).error
    assert conflict.kind is StoreErrorKind.CONFLICT
    assert conflict.current.revision == written.revision
    set_fault(context.address, {"lose_next": 1})
    again = client.put(KIND, "x", {"text": "2"}, expected=written.revision)
    assert again.ok.revision == written.revision + 1, again
    too_large = client.put(KIND, "y", {"text": "x" * 1_000_001}).error
    assert too_large.kind is StoreErrorKind.TOO_LARGE
    wrong = BlockingStore(context.address, "wrong", "cli").get(KIND, "x").error
    assert wrong.kind is StoreErrorKind.REJECTED, wrong
    assert [item.name for item in client.list_all("").ok.items] == ["x"]
    assert client.delete(KIND, "x", again.ok.revision).ok.revision == 3
    assert client.get(KIND, "x").error.kind is StoreErrorKind.NOT_FOUND


def set_fault(address, faults):
    """Set faults through the control path of the store process."""
    body = json.dumps(faults).encode()
    head = f"POST /control HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
    with socket.create_connection(address) as connection:
        connection.sendall(f"{head}Connection: close\r\n\r\n".encode() + body)
        assert b" 200 " in connection.recv(65536)


@when("the loop client writes with a lost answer, reads and watches on a socket")
def step_loop(context):
    set_fault(context.address, {"lose_next": 1})
    manager = Manager()
    poller = Poller().register(manager)
    clock = MonotonicClock()
    timers = Timers(clock).register(manager)
    transport = LoopTransport(poller, timers, clock, context.address, "secret")
    client = StoreClient(transport, timers, clock, random.Random(1), "node-1-e1")
    context.seen = {}

    def keep(name, following):
        def on_result(result):
            context.seen[name] = result
            following()

        return on_result

    def stop():
        transport.close()
        manager.stop()

    def hang():
        set_fault(context.address, {"outage": "hang"})
        client.get(KIND, "y", keep("hang", stop), timeout_s=0.5)

    def write():
        client.put(KIND, "x", {"text": "1"}, keep("put", read))

    def read():
        client.get(KIND, "x", keep("get", hang))

    client.watch(0, keep("watch", lambda: None))
    timers.call_soon(write)
    timers.call_at(clock.now() + 30.0, stop)
    # After stop() the loop runs a few more turns, each of which waits for the next
    # timer; this one keeps these waits short.
    timers.call_every(0.05, lambda: None)
    manager.run()


@then("its watch shows the write and a silent store ends as away")
def step_loop_seen(context):
    seen = context.seen
    assert seen["put"].ok.revision == 1, seen
    assert seen["get"].ok.spec == {"text": "1"}, seen
    assert [change.name for change in seen["watch"].ok.changes] == ["x"], seen
    assert seen["hang"].error.kind is StoreErrorKind.AWAY, seen
