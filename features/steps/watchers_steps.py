"""Steps that run watch elections against a fake store in virtual time."""

import random

from behave import given, then, when
from hypothesis import HealthCheck, given as given_data, settings, strategies as st

from benchmarks.events import EventQueue
from flamingobank.configuration import (
    AnswerLost,
    ChangesSeen,
    ChangesWatched,
    ConfigurationChange,
    Delta,
    LeaseAcquired,
    LeaseConflict,
    LeaseLost,
    LeaseObject,
    LeaseRead,
    LeaseWritten,
    ListingNeeded,
    ReadLease,
    RevisionRegressed,
    StoreUnavailable,
    WatchChanges,
    WatchCompacted,
    WatchElection,
)
from flamingobank.objects import ObjectKind

PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class ElectionFleet:
    """Simulate the nodes of one failure domain and the store that they call."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.queue = EventQueue()
        self.objects = {}
        self.history = {}
        self.revision = 100
        self.is_away = False
        self.lost = 0.0
        self.delay_s = 0.01
        self.stale = 0.0
        self.callers = {}
        self.paused = {}
        self.nodes = {}
        self.outcomes = {}
        self.tokens = {}
        for index in range(count):
            self.restart(f"w{index}")
        self.queue.call_after(0.5, self.tick)

    @property
    def now(self):
        return self.queue.clock.now()

    def restart(self, name):
        """Replace the election of a node by a new one, as a process restart does."""
        rng = random.Random(self.rng.random())
        boot = f"{self.rng.getrandbits(32):x}"
        self.nodes[name] = WatchElection(name, boot, "east-0", name, rng, self.now)
        self.outcomes.setdefault(name, [])

    def tick(self):
        self.queue.call_after(0.5, self.tick)
        for name, election in self.nodes.items():
            if self.paused.get(name, 0) > self.now:
                continue
            election.set_members(sorted(self.nodes))
            for operation in election.tick(self.now, 0):
                self.call(name, election, operation)
        self.check()

    def call(self, name, election, operation):
        """Run an operation after a delay and deliver its result after another one.

        The result may be replaced by AnswerLost.
        """
        if not isinstance(operation, WatchChanges):
            self.callers.setdefault(operation.slot.index, set()).add(name)
        delay_s = self.rng.uniform(0, self.delay_s)

        def run():
            result = self.execute(operation)
            if self.rng.random() < self.lost:
                result = AnswerLost(operation.operation)
            self.queue.call_after(
                self.rng.uniform(0, self.delay_s),
                lambda: self.deliver(name, election, result),
            )

        self.queue.call_after(delay_s, run)

    def deliver(self, name, election, result):
        if self.nodes[name] is not election:
            return
        wait_s = self.paused.get(name, 0) - self.now
        if wait_s > 0:
            self.queue.call_after(wait_s, lambda: self.deliver(name, election, result))
            return
        election.handle(result, self.now)
        self.check()

    def execute(self, operation):
        """Return the result that the store gives for an operation."""
        number = operation.operation
        if self.is_away:
            return StoreUnavailable(number, 0.2)
        if isinstance(operation, WatchChanges):
            return ChangesWatched(number, Delta(operation.after, operation.after, ()))
        name = operation.slot.object_name
        if isinstance(operation, ReadLease):
            if name in self.history and self.rng.random() < self.stale:
                # Simulates a store that answers from an outdated copy.
                return LeaseRead(number, self.history[name][-8:][0])
            return LeaseRead(number, self.objects.get(name))
        current = self.objects.get(name)
        if operation.expected != (current.revision if current else 0):
            return LeaseConflict(number, current)
        self.revision += self.rng.randint(1, 5)
        self.objects[name] = LeaseObject(
            self.revision,
            operation.write_id,
            operation.holder,
            operation.address,
            operation.token,
        )
        self.history.setdefault(name, []).append(self.objects[name])
        return LeaseWritten(number, self.revision)

    def holders(self):
        """Return the names of the nodes that hold each lease now."""
        holders = {}
        for name, election in self.nodes.items():
            for claim in election._claims:
                if claim.is_held and self.now < claim._deadline:
                    holders.setdefault(claim.slot.index, []).append(name)
        return holders

    def check(self):
        for index, names in self.holders().items():
            assert len(names) == 1, (index, names)
        for name, election in self.nodes.items():
            if self.paused.get(name, 0) > self.now:
                continue
            for outcome in election.take_outcomes():
                self.outcomes[name].append(outcome)
                if isinstance(outcome, LeaseAcquired):
                    before = self.tokens.get(outcome.slot, 0)
                    assert outcome.token >= before, (outcome, before)
                    self.tokens[outcome.slot] = outcome.token


@given("{count:d} nodes of one domain that compete for watch leases")
def step_nodes(context, count):
    context.elections = ElectionFleet(1, count)


@when("the watch election runs for {seconds:d} seconds")
def step_run(context, seconds):
    fleet = context.elections
    fleet.queue.run_until(fleet.now + seconds)


@then("both watch leases are held by different nodes")
def step_held(context):
    holders = context.elections.holders()
    assert sorted(holders) == [0, 1], holders
    assert holders[0] != holders[1], holders


@then("at most {count:d} nodes a lease called the store")
def step_callers(context, count):
    for names in context.elections.callers.values():
        assert 0 < len(names) <= count, context.elections.callers


@when("a holder of a watch lease is paused for {seconds:d} seconds")
def step_pause_holder(context, seconds):
    fleet = context.elections
    context.paused = fleet.holders()[0][0]
    fleet.paused[context.paused] = fleet.now + seconds
    fleet.queue.run_until(fleet.now + seconds - 1)
    assert fleet.holders()[0] != [context.paused], "no node took over the lease"
    # The node must notice the expiry by its own clock, before any answer of the store.
    fleet.nodes[context.paused].tick(fleet.now, 0)
    assert not fleet.nodes[context.paused].tokens
    fleet.queue.run_until(fleet.now + 10)


@then("the paused holder reported that its lease is gone")
def step_gone(context):
    outcomes = context.elections.outcomes[context.paused]
    assert any(isinstance(item, LeaseLost) for item in outcomes), outcomes


def _answer_watch(context, make_result):
    """Answer the next watch of a lease holder with the result from make_result().

    Returns the outcomes that the holder then reports.
    """
    fleet = context.elections
    election = fleet.nodes[fleet.holders()[0][0]]
    now = fleet.now
    for _ in range(200):
        now += 0.5
        election._claims[0]._deadline = now + 10
        for operation in election.tick(now, 50):
            if isinstance(operation, WatchChanges):
                election.handle(make_result(operation), now)
                return election.take_outcomes()
    raise AssertionError("the holder did not start a watch")


@then("a watched change is handed over as a delta")
def step_watched(context):
    delta = Delta(50, 60, (ConfigurationChange(ObjectKind.SERVICE, "orders", 60, {}),))
    outcomes = _answer_watch(context, lambda op: ChangesWatched(op.operation, delta))
    assert outcomes == [ChangesSeen(delta)], outcomes


@then("a watch that answers an older revision is reported and not handed over")
def step_older(context):
    delta = Delta(20, 30, (ConfigurationChange(ObjectKind.SERVICE, "orders", 30, {}),))
    outcomes = _answer_watch(context, lambda op: ChangesWatched(op.operation, delta))
    assert outcomes == [RevisionRegressed("store", 30, 50)], outcomes


@then("a compacted watch asks for a listing")
def step_compacted(context):
    outcomes = _answer_watch(context, lambda op: WatchCompacted(op.operation))
    assert outcomes == [ListingNeeded(50)], outcomes


FAULTS = ("away", "slow", "lost", "stale", "pause", "restart", "calm")


def _inject(fleet, fault):
    name = fleet.rng.choice(sorted(fleet.nodes))
    if fault == "away":
        fleet.is_away = True
    elif fault == "slow":
        fleet.delay_s = 8.0
    elif fault == "lost":
        fleet.lost = 0.5
    elif fault == "stale":
        fleet.stale = 0.3
    elif fault == "pause":
        fleet.paused[name] = fleet.now + fleet.rng.uniform(1, 60)
    elif fault == "restart":
        fleet.restart(name)
    else:
        fleet.is_away, fleet.delay_s, fleet.lost, fleet.stale = False, 0.01, 0.0, 0.0


@when("watch elections run through random faults")
def step_random(context):
    context.acquired = context.gone = context.back = 0

    @settings(PROFILE, max_examples=40)
    @given_data(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(FAULTS), min_size=5, max_size=15),
    )
    def check(seed, faults):
        fleet = ElectionFleet(seed, 5)
        fleet.queue.run_until(40)
        for fault in faults:
            _inject(fleet, fault)
            fleet.queue.run_until(fleet.now + fleet.rng.uniform(0, 40))
        _inject(fleet, "calm")
        fleet.queue.run_until(fleet.now + 200)
        assert sorted(fleet.holders()) == [0, 1], (faults, fleet.holders())
        outcomes = [item for kept in fleet.outcomes.values() for item in kept]
        context.acquired += sum(isinstance(o, LeaseAcquired) for o in outcomes)
        context.gone += sum(isinstance(o, LeaseLost) for o in outcomes)
        context.back += sum(isinstance(o, RevisionRegressed) for o in outcomes)

    check()


@then("no lease had two holders and all were held again at the end")
def step_safe(context):
    counts = (context.acquired, context.gone, context.back)
    assert min(counts) > 0 and context.acquired > 80, counts
