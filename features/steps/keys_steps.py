"""Check that each keyed request runs at most once, against a list of all runs."""

import json
import random
import tracemalloc
from dataclasses import dataclass, field
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from flamingobank.core import Disposition, NodeId, Refusal, RefusalCause
from flamingobank.idempotency import (
    CallerKeyRun,
    CallerKeys,
    HandoverAck,
    HandoverPart,
    Keeper,
    KeeperMoved,
    KeeperMoveTable,
    KeeperName,
    KeeperRedirect,
    KeyRecord,
    KeyRecordAck,
    KeyRejected,
    KeyWrite,
    OutcomeUnknown,
    Prepare,
    Replay,
    ReplicaRecords,
    ResendRequired,
    RunGranted,
    RunRefused,
    StillRunning,
    issue_key,
    parse_key,
    rank_replicas,
)
from flamingobank.idempotency.table import KeyEntry, KeyState, KeyTable
from flamingobank.node.callers.keyed_exchange import KeyedCallerExchange
from flamingobank.store import CallFailed, GroupBudget, StoreAnswer
from flamingobank.store.operations import Finished
from flamingobank.store.writes import PutOperation
from flamingobank_standins.store import ObjectStore, ReceivedCall

SECRET = b"fleet secret"
DOMAINS = {"a": "x", "b": "x", "c": "y", "d": "y"}
FIRST, OTHER = b"first request", b"other request"


@dataclass
class Request:
    """A request that an entry sends to a keeper."""

    key: str
    fingerprint: bytes
    generation: int
    sent_at: int


@dataclass
class Grant:
    """A run that a keeper permitted, and its outcome."""

    key: str
    process: "Process"
    run: RunGranted
    number: int
    state: str = "active"


@dataclass
class Process:
    """One process of a node, with the requests that wait to run."""

    node: str
    epoch: str
    paused: bool = False
    alive: bool = True
    waiting: dict = field(default_factory=dict)

    def __post_init__(self):
        self.name = KeeperName(self.node, self.epoch)
        self.keeper = Keeper(self.name, [SECRET], 1e9)
        self.keeper.set_replicas(rank_replicas(self.name, DOMAINS[self.node], DOMAINS))
        self.replica = ReplicaRecords(self.node)
        self.moves = KeeperMoveTable()


NODE = st.sampled_from(sorted(DOMAINS))
INDEX = st.integers(0, 40)


class KeeperMachine(RuleBasedStateMachine):
    """Run keepers over a network that loses, delays, repeats and reorders messages."""

    def __init__(self):
        super().__init__()
        self.now, self.steps, self.starts = 0.0, 0, 0
        self.processes = {node: self.start(node) for node in DOMAINS}
        self.network, self.keys, self.grants = [], [], []
        # The step of the last "not run" decision, by key.
        self.not_run_steps = {}

    def start(self, node):
        """Start a node process that has no records."""
        self.starts += 1
        return Process(node, f"e{self.starts}")

    def pick(self, items, index):
        """Return the item at an index that may exceed the length of the list."""
        return items[index % len(items)]

    @precondition(lambda self: len(self.keys) < 12)
    @rule(node=NODE)
    def issue(self, node):
        issued = self.processes[node].keeper.issue_keys(1, self.now)
        if issued.is_ok():
            self.keys += issued.ok

    @precondition(lambda self: self.keys)
    @rule(entry=NODE, index=INDEX, other=st.integers(0, 9))
    def send(self, entry, index, other):
        key = self.pick(self.keys[-2:], index)
        self.send_request(entry, key, FIRST if other else OTHER, 0)

    def send_request(self, entry, key, fingerprint, generation):
        """Send a request to the node that the entry believes to be the keeper."""
        self.steps += 1
        keeper = self.processes[entry].moves.find(parse_key(key, [SECRET]).ok.keeper)
        request = Request(key, fingerprint, generation, self.steps)
        self.network.append((entry, keeper.node, request))

    @precondition(lambda self: self.network)
    @rule(
        index=INDEX, delivery=st.sampled_from(["once", "once", "once", "twice", "lost"])
    )
    def deliver(self, index, delivery):
        position = index % len(self.network)
        sender, to, message = self.network[position]
        if delivery != "twice":
            del self.network[position]
        process = self.processes[to]
        if delivery != "lost" and not process.paused:
            self.steps += 1
            self.receive(process, sender, message)

    @precondition(lambda self: self.network)
    @rule(count=st.integers(2, 12))
    def deliver_in_order(self, count):
        for _ in range(count):
            if self.network:
                self.deliver(0, "once")

    @rule(seconds=st.sampled_from([0.06, 0.11, 0.6, 1.1]))
    def pass_time(self, seconds):
        self.now += seconds
        for process in self.processes.values():
            if not process.paused:
                self.apply(process, process.keeper.tick(self.now))

    @precondition(lambda self: any(grant.state == "active" for grant in self.grants))
    @rule(index=INDEX, end=st.sampled_from(["done", "not-run", "unknown"]))
    def end_run(self, index, end):
        grant = self.pick([g for g in self.grants if g.state == "active"], index)
        if not grant.process.alive or grant.process.paused:
            return
        self.steps += 1
        keeper = grant.process.keeper
        grant.state = end
        if end == "done":
            answer = str(grant.number).encode()
            sends = keeper.record_done(grant.run, grant.number, answer, self.now)
        elif end == "not-run":
            self.not_run_steps[grant.key] = self.steps
            sends = keeper.record_not_run(grant.run, self.now)
        else:
            sends = keeper.record_unknown(grant.run, self.now)
        self.apply(grant.process, sends)

    @rule(node=NODE, fault=st.sampled_from(["kill", "pause", "resume", "suspect"]))
    def inject_fault(self, node, fault):
        process = self.processes[node]
        if fault == "kill":
            process.alive = False
            self.processes[node] = self.start(node)
        elif fault == "suspect":
            for other in self.processes.values():
                other.keeper.on_keeper_lost(process.name)
        else:
            process.paused = fault == "pause"

    @rule(node=NODE, other=NODE)
    def seal(self, node, other):
        process = self.processes[node]
        if node == other or process.keeper.sealed or process.paused:
            return
        self.steps += 1
        successor = self.processes[other].name
        self.apply(process, process.keeper.seal(successor, self.now))

    @precondition(lambda self: self.keys)
    @rule(node=NODE, index=INDEX)
    def ask_replica(self, node, index):
        key = self.pick(self.keys, index)
        issued = parse_key(key, [SECRET]).ok
        answer = self.processes[node].replica.answer(issued, FIRST)
        if isinstance(answer, Replay):
            self.check_replay(key, answer)

    def receive(self, process, sender, message):
        """Deliver a message to a process."""
        keeper = process.keeper
        if isinstance(message, Request):
            self.receive_request(process, sender, message)
        elif isinstance(message, KeyRecord):
            sends = keeper.on_record(message, sender, self.now)
            self.apply(process, sends)
            ack = process.replica.on_record(message)
            if ack is not None and not sends:
                self.network.append((process.node, sender, ack))
        elif isinstance(message, KeyRecordAck):
            effect = keeper.on_ack(message, self.now)
            self.apply(process, [effect] if effect else [])
        elif isinstance(message, HandoverPart):
            self.apply(process, keeper.on_handover_part(message, self.now))
        elif isinstance(message, HandoverAck) and keeper.on_handover_ack(message):
            moved = KeeperMoved(tuple(keeper.list_names()), message.successor)
            for other in self.processes.values():
                other.moves.record(moved)

    def receive_request(self, process, sender, request):
        """Pass a request to a keeper and check its decision."""
        fingerprint = request.fingerprint
        deadline = self.now + 3.0 - request.sent_at % 7
        decision = process.keeper.accept(
            request.key, fingerprint, self.now, request.generation, deadline
        )
        if isinstance(decision, Prepare):
            process.waiting[decision.key_id] = request
            self.apply(process, decision.sends)
        elif isinstance(decision, RunGranted):
            process.waiting[decision.key_id] = request
            self.apply(process, [decision])
        elif isinstance(decision, ResendRequired):
            self.send_request(sender, request.key, fingerprint, decision.generation)
        elif isinstance(decision, Replay):
            assert fingerprint == FIRST or not self.may_have_run(request.key, FIRST)
            self.check_replay(request.key, decision)
        elif isinstance(decision, KeyRejected):
            assert not self.may_have_run(request.key, fingerprint), decision
            if decision.reason is RefusalCause.DEADLINE:
                self.not_run_steps[request.key] = self.steps
        else:
            assert isinstance(
                decision, StillRunning | OutcomeUnknown | KeeperRedirect
            ), decision

    def apply(self, process, effects):
        """Carry out the effects that a keeper returned."""
        for effect in effects:
            if isinstance(effect, RunGranted):
                self.grant(process, effect)
            elif isinstance(effect, RunRefused):
                request = process.waiting.pop(effect.key_id)
                assert not self.may_have_run(request.key, request.fingerprint), effect
                self.not_run_steps[request.key] = self.steps
            else:
                self.network.append((process.node, effect.to, effect.message))

    def grant(self, process, run):
        """Record a run.

        Fails if the key may have run before, or if the caller was told "not run"
        after it sent this request.
        """
        request = process.waiting.pop(run.key_id)
        others = [g for g in self.grants if g.key == request.key]
        assert all(g.state == "not-run" for g in others), (request, others)
        assert self.not_run_steps.get(request.key, 0) < request.sent_at, (
            f"sent at step {request.sent_at}, not run at {self.not_run_steps}"
        )
        number = len(self.grants)
        grant = Grant(request.key, process, run, number)
        grant.fingerprint = request.fingerprint
        self.grants.append(grant)

    def may_have_run(self, key, fingerprint):
        """Tell whether a request with this key and fingerprint may have run."""
        return any(
            grant.key == key
            and grant.state != "not-run"
            and grant.fingerprint == fingerprint
            for grant in self.grants
        )

    def check_replay(self, key, replay):
        """Check that a replay returns the answer of the key's only run."""
        done = [g for g in self.grants if g.key == key and g.state == "done"]
        assert [g.number for g in done] == [replay.status], (done, replay)
        assert replay.answer in (None, str(replay.status).encode())


@then("{count:d} random keeper histories run each key at most once")
def step_machine(context, count):
    run_state_machine_as_test(
        KeeperMachine,
        settings=settings(
            max_examples=count,
            stateful_step_count=100,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )


@then("a key with any altered field is refused and two secrets hold in rotation")
def step_forged(context):
    key = issue_key(SECRET, KeeperName("rack.7", "e1"), 12, 2000)
    issued = parse_key(key, [b"new", SECRET]).ok
    assert issued.key_id == (("rack.7", "e1"), 12) and issued.expiry_s == 2000
    assert parse_key(key, [b"new"]).is_error()
    for index, character in enumerate(key):
        altered = key[:index] + ("1" if character != "1" else "2") + key[index + 1 :]
        assert parse_key(altered, [SECRET]).is_error(), altered
    for text in ("", "fb1", "fb1.a.b.c.d.e", "é" * 9, "x" * 300, key[:-1], key + "0"):
        assert parse_key(text, [SECRET]).is_error(), text


@given('a keeper "{node}" with a replica "{replica}" and one issued key')
def step_keeper(context, node, replica):
    context.keeper = Keeper(KeeperName(node, "e1"), [SECRET], 1e9)
    context.keeper.set_replicas([replica])
    context.replica = ReplicaRecords(replica)
    context.key, context.fresh_key = context.keeper.issue_keys(2, 0.0).ok


def run_key(context):
    """Run the keyed request after its replica has confirmed the record."""
    prepared = context.keeper.accept(context.key, FIRST, 1.0)
    ack = context.replica.on_record(prepared.sends[0].message)
    return context.keeper.on_ack(ack, 1.0)


@when("the keyed request runs and ends with status {status:d}")
def step_run(context, status):
    run = run_key(context)
    for send in context.keeper.record_done(run, status, b"body", 2.0):
        context.replica.on_record(send.message)


@then("the replica replays status {status:d} and has no outcome of other keys")
def step_replica(context, status):
    issued = parse_key(context.key, [SECRET]).ok
    assert context.replica.answer(issued, FIRST) == Replay(status, b"body")
    fresh = parse_key(context.fresh_key, [SECRET]).ok
    assert isinstance(context.replica.answer(fresh, FIRST), OutcomeUnknown)


@then("the same key with another keyed request is refused as not run")
def step_other(context):
    decision = context.keeper.accept(context.key, OTHER, 3.0)
    assert decision.disposition is Disposition.NOT_RUN, decision


@when("the keyed request ends with an answer of {size:d} bytes")
def step_large(context, size):
    context.keeper.record_done(run_key(context), 200, b"x" * size, 2.0)


@then("the key replays its status without a body")
def step_no_body(context):
    assert context.keeper.accept(context.key, FIRST, 3.0) == Replay(200, None)


@when("the replica never confirms the keyed request")
def step_no_replica(context):
    prepared = context.keeper.accept(context.key, FIRST, 1.0)
    context.late_ack = context.replica.on_record(prepared.sends[0].message)
    context.effects = context.keeper.tick(1.2)


@then("the keyed request is refused as not run and a delayed copy never runs")
def step_refused(context):
    assert [type(effect) for effect in context.effects] == [RunRefused], context.effects
    assert context.keeper.on_ack(context.late_ack, 1.3) is None
    assert context.keeper.accept(context.key, FIRST, 1.4) == ResendRequired(1)


@when("the keyed request ends without an outcome and a day passes")
def step_expire(context):
    context.keeper.record_unknown(run_key(context), 2.0)
    context.keeper.tick(86_500.0)


@then("the accepted key is unknown, an unused one not run, and both unknown later")
def step_expired(context):
    accept = context.keeper.accept
    assert isinstance(accept(context.key, FIRST, 86_500.0), OutcomeUnknown)
    assert isinstance(accept(context.fresh_key, FIRST, 86_500.0), KeyRejected)
    context.keeper.tick(200_000.0)
    assert isinstance(accept(context.key, FIRST, 200_000.0), OutcomeUnknown)
    assert isinstance(accept(context.fresh_key, FIRST, 200_000.0), OutcomeUnknown)


@then("{count:d} recorded keys take at most {limit:d} megabytes")
def step_memory(context, count, limit):
    tracemalloc.start()
    table = KeyTable()
    for sequence in range(0, count, 7):
        table.set(sequence, KeyEntry(KeyState.DONE, 0, 200, sequence), 1)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(table) >= count and size <= limit * 1e6, size


@then("{count:d} random histories of chosen keys run each key at most once")
def step_caller_keys(context, count):
    fixed = settings(max_examples=count, derandomize=True, database=None, deadline=None)
    action = st.tuples(
        st.sampled_from(["ok", "ok", "lost", "late", "away", "arrive"]),
        st.sampled_from(["ok", "lost", "late", "away"]),
        st.sampled_from(["done", "not-run", "unknown", "killed"]),
        st.sampled_from([FIRST, FIRST, FIRST, OTHER]),
    )
    fixed(given_data(st.lists(action, max_size=12))(check_caller_key))()


def check_caller_key(actions):
    """Send one caller-chosen key repeatedly while calls of the store may fail.

    It may run again only if every earlier run ended as "not run".
    """
    store, delayed_calls, runs = ObjectStore(), [], []
    for index, (fault, end_fault, end, fingerprint) in enumerate(actions):
        if fault == "arrive":
            for call in delayed_calls:
                store.handle(call, 0.0)
            delayed_calls.clear()
            continue
        keys = CallerKeys(KeeperName("a", f"e{index}"), GroupBudget(100, 1, 0.0))
        decision = keys.begin("k", fingerprint, 1000, 0.0)
        while isinstance(decision, KeyWrite):
            result = write_key(store, delayed_calls, decision, f"w{index}", fault)
            decision = keys.on_written(decision, result, 0.0)
        possible_runs = [run for run in runs if run[1] != "not-run"]
        if isinstance(decision, CallerKeyRun):
            assert not possible_runs, (decision, runs)
            runs.append((fingerprint, end))
            if end != "killed":
                write = keys.end(decision, end, 1000, status=index, text="t")
                write_key(store, delayed_calls, write, f"v{index}", end_fault)
        elif isinstance(decision, KeyRejected):
            assert (
                all(run[0] != fingerprint for run in possible_runs) or fault == "away"
            )
        elif isinstance(decision, Replay):
            assert possible_runs == [(fingerprint, "done")], (decision, runs)
        else:
            assert isinstance(decision, StillRunning | OutcomeUnknown), decision
    check_at_most_one_run(runs)


def check_at_most_one_run(runs):
    """Check that at most one run ended other than as "not run"."""
    assert sum(end != "not-run" for _, end in runs) <= 1, runs


def write_key(store, delayed_calls, write, write_id, fault):
    """Write a key's object over a network that has the given fault."""
    operation = PutOperation(
        "key", write.name, write.spec, write_id, write.expected, 5.0, random.Random(1)
    )
    step, first, now = operation.begin(), True, 0.0
    while not isinstance(step, Finished):
        now += step.delay_s + 0.01
        headers = {name.lower(): value for name, value in step.call.headers}
        call = ReceivedCall(
            step.call.method, step.call.target, {}, headers, step.call.body
        )
        if fault == "away":
            answer = StoreAnswer(503, {}, b"")
        elif fault == "late":
            if step.call.is_write:
                delayed_calls.append(call)
            answer = CallFailed("no answer", sent=True)
        else:
            reply = store.handle(call, 0.0).reply
            body = json.dumps(reply.body).encode()
            answer = StoreAnswer(reply.status, {}, body)
            if fault == "lost" and first:
                answer = CallFailed("closed", sent=True)
        step, first = operation.handle_answer(answer, now), False
    return step.result


@when('the keyed request runs while the keeper is sealed for the successor "{node}"')
def step_seal(context, node):
    context.run = run_key(context)
    context.successor = Keeper(KeeperName(node, "e1"), [SECRET], 1e9)
    effects = context.keeper.seal(context.successor.name, 2.0)
    context.parts = [effect.message for effect in effects]
    assert context.keeper.accept(context.fresh_key, FIRST, 2.0) == KeeperRedirect(
        context.successor.name
    )
    for part in context.parts:
        context.sends = context.successor.on_handover_part(part, 2.0)
    assert context.keeper.on_handover_ack(context.sends[0].message)


@then("the successor says that the keyed request is still running")
def step_still_running(context):
    accept = context.successor.accept
    assert isinstance(accept(context.key, FIRST, 3.0), StillRunning)
    assert isinstance(accept(context.fresh_key, FIRST, 3.0), RunGranted)


@then("a restarted successor and a repeated handover get no right to run")
def step_repeated_handover(context):
    restarted = Keeper(KeeperName("d", "e2"), [SECRET], 1e9)
    for part in context.parts:
        assert restarted.on_handover_part(part, 3.0) == []
        assert context.successor.on_handover_part(part, 3.0) == context.sends
    assert isinstance(restarted.accept(context.fresh_key, FIRST, 3.0), OutcomeUnknown)
    accept = context.successor.accept
    assert isinstance(accept(context.fresh_key, FIRST, 3.0), StillRunning)
    context.other_successor = Keeper(KeeperName("d", "e3"), [SECRET], 1e9)


@then("the successor replays the answer once the sealed keeper reports it")
def step_reported(context):
    sends = context.keeper.record_done(context.run, 201, b"body", 4.0)
    record = next(send.message for send in sends if send.to == "d")
    acks = context.successor.on_record(record, "a", 4.0)
    assert context.successor.accept(context.key, FIRST, 4.0) == Replay(201, b"body")
    assert context.keeper.on_ack(acks[0].message, 4.0) is None
    assert [send.to for send in context.keeper.tick(5.0)] == ["c"], "only the replica"


@then("a lost sealed keeper makes the running keyed request unknown")
def step_lost_sealed(context):
    keeper = Keeper(KeeperName("b", "e1"), [SECRET], 1e9)
    keeper.set_replicas(["c"])
    context.keeper, (context.key,) = keeper, keeper.issue_keys(1, 0.0).ok
    run_key(context)
    successor = context.other_successor
    for effect in keeper.seal(successor.name, 2.0):
        successor.on_handover_part(effect.message, 2.0)
    assert isinstance(successor.accept(context.key, FIRST, 3.0), StillRunning)
    successor.on_keeper_lost(keeper.name)
    assert isinstance(successor.accept(context.key, FIRST, 3.0), OutcomeUnknown)


@given("a keyed request whose keeper was lost after it was sent")
def step_keeper_lost(context):
    exchange = KeyedCallerExchange.__new__(KeyedCallerExchange)
    exchange.entry = SimpleNamespace(
        timers=SimpleNamespace(call_soon=lambda callback: None)
    )
    exchange.message = SimpleNamespace(keyed=None)
    exchange._ended = exchange._head_written = False
    exchange._running = object()
    exchange._refusal_count = 0
    exchange._replicas = [NodeId("replica")]
    exchange._disposition = Disposition.NOT_RUN
    context.refusals = []
    exchange._refuse = context.refusals.append
    lost = Refusal(Disposition.UNKNOWN, RefusalCause.UNREACHABLE, 1.0, "link lost")
    exchange.on_refused(lost, None)
    assert not context.refusals
    context.exchange = exchange


@when("its deadline comes before the next attempt")
def step_deadline_between(context):
    context.exchange._on_deadline()


@when("the replica refuses it as not run")
def step_replica_refuses(context):
    refusal = Refusal(Disposition.NOT_RUN, RefusalCause.NO_CAPACITY, 1.0, "full")
    context.exchange.on_refused(refusal, None)


@then("it is not refused as not run")
def step_not_refused(context):
    (refusal,) = context.refusals
    assert refusal.disposition is Disposition.UNKNOWN, refusal
