"""Steps that check the admission queue against reference models and its limits."""

import math
import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from flamingobank.admission import (
    AdmissionQueue,
    Admitted,
    CancelOutcome,
    Lane,
    LongWorkPolicy,
    ServerChange,
    StartOutcome,
    Work,
)
from flamingobank.admission.entries import QueueEntry
from flamingobank.admission.fair_queue import FairQueue
from flamingobank.core import RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
CUSTOMER, INTERNAL = TrafficClass.CUSTOMER, TrafficClass.INTERNAL
SHORT_S, LONG_S = 0.01, 1.0


def make_job(
    number, deadline=1000.0, run_s=SHORT_S, traffic_class=CUSTOMER, workspace=0
):
    kind = "long" if run_s >= LONG_S else "short"
    return Work(
        RequestId(f"job-{number}"),
        RouteName(f"{kind}-{traffic_class.value}"),
        WorkspaceId(f"workspace-{workspace}"),
        traffic_class,
        deadline,
        run_s,
    )


def start_all(queue, now):
    """Start all work that may start; return pairs of work and server."""
    started = []
    while (taken := queue.take(now)) is not None:
        outcome = queue.start(taken.work, taken.servers[0], now)
        assert outcome is StartOutcome.STARTED, outcome
        started.append((taken.work, taken.servers[0]))
    return started


class RandomRun:
    """Call a queue in random order and record how each offer ended."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.queue = AdmissionQueue("orders")
        self.now = 0.0
        self.ends = {}
        self.running = {}
        self.slots = {}
        self.faults = []

    def run(self):
        for number in range(300):
            self.now += self.rng.expovariate(100.0)
            action = self.rng.choice(
                ("offer", "offer", "start", "start", "finish", "cancel", "server")
            )
            getattr(self, action)(number)
            if self.rng.random() < 0.05:
                self.jump_back(number)
            self.note_refused(self.queue.expire(self.now))
        self.drain()

    def jump_back(self, number):
        """Pass an earlier time, after which passed deadlines must stay passed."""
        self.note_refused(self.queue.expire(self.now))
        late = make_job(f"{number}-late", self.now - 0.001)
        if isinstance(self.queue.offer(late, self.now - 100.0), Admitted):
            self.faults.append(("admitted after its deadline", late))
        self.note_refused(self.queue.expire(self.now - 100.0))

    def drain(self):
        for work in list(self.running):
            self.finish_work(work)
        self.note_refused(self.queue.expire(self.now + 1000.0))
        if self.queue.waiting:
            self.faults.append("work still waits after all deadlines")

    def end(self, work, how):
        self.ends.setdefault(work.request_id, []).append(how)

    def note_refused(self, refused):
        for each in refused:
            self.end(each.work, "refused")
            if each.work in self.running:
                self.faults.append(("refused while running", each))

    def offer(self, number):
        work = make_job(
            number,
            self.now + self.rng.uniform(-0.1, 2.0),
            self.rng.choice((SHORT_S, 0.05, LONG_S)),
            self.rng.choice((CUSTOMER, INTERNAL)),
            self.rng.randrange(4),
        )
        self.ends[work.request_id] = []
        if not isinstance(self.queue.offer(work, self.now), Admitted):
            self.end(work, "refused")

    def start(self, number):
        taken = self.queue.take(self.now)
        if taken is None:
            return
        if self.rng.random() < 0.2:
            assert self.queue.put_back(taken.work, self.now)
            return
        if taken.work.deadline <= self.now:
            self.faults.append(("taken after the deadline", taken))
        if self.rng.random() < 0.05:
            late_s = taken.work.deadline + 0.001
            outcome = self.queue.start(taken.work, taken.servers[0], late_s)
            if outcome is not StartOutcome.NOT_TAKEN:
                self.faults.append(("started after the deadline", taken))
            self.now = late_s
            return
        instance = self.rng.choice(taken.servers)
        outcome = self.queue.start(taken.work, instance, self.now)
        if outcome is not StartOutcome.STARTED or self.ends[taken.work.request_id]:
            self.faults.append((outcome, taken))
        self.running[taken.work] = instance
        in_use = list(self.running.values()).count(instance)
        if in_use > self.slots[instance]:
            self.faults.append(("more work than slots", instance, in_use))

    def finish(self, number):
        if self.running:
            self.finish_work(self.rng.choice(list(self.running)))

    def finish_work(self, work):
        del self.running[work]
        self.end(work, "finished")
        if not self.queue.finish(work, self.now, self.rng.random() < 0.8):
            self.faults.append(("not running", work))
        if self.queue.finish(work, self.now):
            self.faults.append(("finished twice", work))

    def cancel(self, number):
        request_id = RequestId(f"job-{self.rng.randrange(number + 1)}")
        outcome = self.queue.cancel(request_id, self.now)
        is_running = any(work.request_id == request_id for work in self.running)
        if is_running != (outcome is CancelOutcome.RUNNING):
            self.faults.append((outcome, request_id))
        if outcome is CancelOutcome.NOT_RUN:
            self.ends[request_id].append("cancelled")

    def server(self, number):
        instance = f"server-{self.rng.randrange(3)}"
        if self.rng.random() < 0.1 and instance not in self.running.values():
            self.queue.remove_server(instance)
            return
        slots = self.rng.randrange(5)
        self.slots[instance] = slots
        self.queue.set_server(instance, slots)
        self.queue.set_usable(instance, self.rng.randrange(slots + 1))


@when("random work, cancellations, server changes and clock jumps reach a queue")
def step_random_runs(context):
    context.runs = []

    @RANDOMISED
    @for_all(st.integers(0, 2**16))
    def run(seed):
        context.runs.append(RandomRun(seed))
        context.runs[-1].run()

    run()


@then("every offer ended once as finished, refused or cancelled")
def step_once(context):
    seen = set()
    for run in context.runs:
        for request_id, ends in run.ends.items():
            assert len(ends) == 1, (request_id, ends)
            seen.update(ends)
    assert seen == {"finished", "refused", "cancelled"}, seen


@then("no refused or cancelled work was started, and none after its deadline")
def step_no_faults(context):
    faults = [run.faults for run in context.runs if run.faults]
    assert not faults, faults[0]


def order_by_reference(work_items):
    """Order work by deficit round robin with plain lists, as a reference."""
    lists, deficits, order = {}, {}, []
    for work in work_items:
        lists.setdefault(work.workspace, []).append(work)
    quantum = max(work.expected_s for work in work_items)
    ring = list(lists)
    while ring:
        name = ring.pop(0)
        deficits[name] = deficits.get(name, 0.0) + quantum
        waiting = lists[name]
        while waiting:
            first = min(
                waiting, key=lambda work: (work.deadline, work_items.index(work))
            )
            if deficits[name] < first.expected_s:
                break
            deficits[name] -= first.expected_s
            waiting.remove(first)
            order.append(first)
        if waiting:
            ring.append(name)
    return order, quantum


@when("random work of several workspaces is queued and popped")
def step_fair(context):
    context.orders = []

    @RANDOMISED
    @for_all(
        st.lists(
            # Costs are multiples of 1/16, so that sums of floats are exact both in
            # FairQueue and in order_by_reference().
            st.tuples(st.integers(0, 3), st.integers(1, 9), st.integers(1, 16)),
            min_size=1,
            max_size=40,
        )
    )
    def run(jobs):
        work_items = [
            make_job(number, float(deadline), cost / 16, workspace=workspace)
            for number, (workspace, deadline, cost) in enumerate(jobs)
        ]
        queue = FairQueue()
        for number, work in enumerate(work_items):
            queue.push(QueueEntry(work, Lane.SHORT, work.expected_s, 0.0, number))
        found = [queue.pop().work for _ in work_items]
        context.orders.append((work_items, found, *order_by_reference(work_items)))

    run()


@then("the order equals that of the reference lists")
def step_same_order(context):
    for _, found, expected, _ in context.orders:
        assert found == expected, (found, expected)


@then("workspaces that always wait differ by at most two quanta")
def step_fair_shares(context):
    for work_items, found, _, quantum in context.orders:
        left = {work.workspace: 0 for work in work_items}
        served = dict.fromkeys(left, 0.0)
        for work in work_items:
            left[work.workspace] += 1
        for work in found:
            served[work.workspace] += work.expected_s
            left[work.workspace] -= 1
            if not all(left.values()):
                break
            assert max(served.values()) - min(served.values()) <= 2 * quantum


@given(
    "a queue with {slots:d} slots and {customers:d} waiting customers and "
    "{internal:d} internal jobs"
)
def step_two_classes(context, slots, customers, internal):
    context.queue = AdmissionQueue("orders")
    context.queue.set_server("server-0", slots)
    for number in range(customers + internal):
        traffic_class = CUSTOMER if number < customers else INTERNAL
        job = make_job(number, traffic_class=traffic_class)
        assert isinstance(context.queue.offer(job, 0.0), Admitted)


@when("{count:d} starts are made with deadlines far away")
def step_starts(context, count):
    context.started = []
    while len(context.started) < count:
        taken = context.queue.take(2.0)
        context.queue.start(taken.work, taken.servers[0], 2.0)
        context.started.append(taken.work)
        context.queue.finish(taken.work, 2.0, completed=False)


@when("a customer was refused and {count:d} starts are made")
def step_starts_in_danger(context, count):
    assert not isinstance(context.queue.offer(make_job("x", 2.001), 2.0), Admitted)
    step_starts(context, count)


@then("{count:d} internal jobs were started")
def step_internal(context, count):
    internal = [work for work in context.started if work.traffic_class is INTERNAL]
    assert len(internal) == count, len(internal)


@given("a queue with {slots:d} slots on each of {servers:d} servers")
def step_servers(context, slots, servers):
    context.policy = LongWorkPolicy(max_routes=100)
    context.queue = AdmissionQueue("orders", policy=context.policy)
    for index in range(servers):
        context.queue.set_server(f"server-{index}", slots)


@when("short work has arrived and {count:d} long jobs are offered")
def step_long(context, count):
    context.queue.offer(make_job("first"), 0.0)
    for work, _ in start_all(context.queue, 0.0):
        context.queue.finish(work, SHORT_S)
    for number in range(count):
        context.queue.offer(make_job(number, run_s=LONG_S), 1.0)
    context.running = start_all(context.queue, 1.0)


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.running += start_all(context.queue, 1.0 + seconds)


@then("{count:d} long jobs run")
def step_long_running(context, count):
    assert len(context.running) == count, len(context.running)


@then(
    "{count:d} long jobs run, at most {most:d} on a server, and a short job starts "
    "at once"
)
def step_long_share(context, count, most):
    step_long_running(context, count)
    servers = [server for _, server in context.running]
    assert max(map(servers.count, servers)) <= most, servers
    context.queue.offer(make_job("short"), 1.0)
    assert len(start_all(context.queue, 1.0)) == 1


@when("short work arrives faster than it can be served, with {count:d} long jobs")
def step_flooded(context, count):
    for number in range(2000):
        context.queue.offer(make_job(number), 0.0)
    for number in range(count):
        context.queue.offer(make_job(f"long-{number}", run_s=LONG_S), 0.0)
    context.running = []
    for turn in range(5):
        for work, server in start_all(context.queue, turn * SHORT_S):
            if work.expected_s == LONG_S:
                context.running.append((work, server))
                continue
            context.queue.finish(work, (turn + 1) * SHORT_S)


@then("at least {count:d} long jobs run")
def step_long_moves(context, count):
    assert len(context.running) >= count, len(context.running)


@when("a job expected to be short runs for {factor:d} short means")
def step_overdue(context, factor):
    context.queue.offer(make_job("short"), 0.0)
    context.overdue = make_job("overdue", run_s=2 * SHORT_S)
    context.queue.offer(context.overdue, 0.0)
    context.started = start_all(context.queue, 0.0)
    assert context.queue._slots.long_in_use == 0
    context.queue.take(factor * context.policy.short_mean_s + 0.001)


@then("its slot counts as held by long work")
def step_promoted(context):
    assert context.queue._slots.long_in_use == 2, context.queue._slots.long_in_use
    for work, _ in context.started:
        context.queue.finish(work, 0.1, completed=False)
    assert context.queue._slots.long_in_use == 0


@then("after three such jobs its route is long before it starts")
def step_route_long(context):
    job = make_job("known", run_s=SHORT_S)
    assert context.policy.classify(job) is Lane.SHORT
    for _ in range(3):
        context.policy.observe(job.route, Lane.LONG, 1.0, 1.0)
    assert context.policy.classify(job) is Lane.LONG


@when("a route that expects 0 s runs {count:d} jobs of {run_s:g} s")
def step_wrong_expectation(context, count, run_s):
    for number in range(count):
        context.queue.offer(make_job(number, run_s=0.0), float(number))
        for work, _ in start_all(context.queue, float(number)):
            context.queue.finish(work, number + run_s)


@then("the route is short and a route of {run_s:g} s is long")
def step_protected(context, run_s):
    assert context.policy.classify(make_job("x", run_s=0.0)) is Lane.SHORT
    assert context.policy.classify(make_job("y", run_s=run_s)) is Lane.LONG


@when("jobs of {count:d} workspaces are offered at three times the capacity")
def step_overload(context, count):
    queue = AdmissionQueue("orders")
    queue.set_server("server-0", 4)
    context.ends, context.idle, context.refused, context.late = [], 0, 0, 0
    running = []
    for tick in range(1000):
        now = tick * SHORT_S
        for work in running:
            queue.finish(work, now)
            context.ends.append((now, work.deadline))
        for part in range(12):
            job = make_job(f"{tick}-{part}", now + 0.3, workspace=part % count)
            context.refused += not isinstance(queue.offer(job, now), Admitted)
        running = [work for work, _ in start_all(queue, now)]
        context.idle += 4 - len(running)
        context.late += len(queue.expire(now))


@then("all started jobs finish in time and the slots are never idle")
def step_in_time(context):
    assert context.refused, "nothing was refused, so nothing was tested"
    assert all(end <= deadline + 1e-9 for end, deadline in context.ends)
    assert context.idle == 0, context.idle


@then("no admitted job is refused later")
def step_none_late(context):
    assert context.late == 0, context.late


@when("a queue of waiting work is only called at its wake-up times")
def step_wakeups(context):
    step_servers(context, 4, 1)
    for number in range(60):
        run_s = LONG_S if number % 3 else SHORT_S
        context.queue.offer(make_job(number, 9.3 + number / 7, run_s), 0.1)
    start_all(context.queue, 0.1)
    context.left = context.queue.waiting
    context.wakeups = [0.1]
    while context.queue.waiting and len(context.wakeups) < 200:
        context.wakeups.append(context.queue.get_next_wakeup())
        start_all(context.queue, context.wakeups[-1])
        context.left -= len(context.queue.expire(context.wakeups[-1]))


@then("all its work is refused and no wake-up time is repeated")
def step_all_refused(context):
    assert context.queue.waiting == context.left == 0, context.left
    assert len(context.wakeups) > 10, context.wakeups
    assert context.wakeups == sorted(set(context.wakeups)), context.wakeups


@when("{count:d} jobs of new routes and workspaces are cancelled or finished")
def step_churn(context, count):
    step_servers(context, 4, 1)
    for number in range(count):
        job = Work(
            RequestId(str(number)),
            RouteName(f"route-{number}"),
            WorkspaceId(f"workspace-{number}"),
            CUSTOMER,
            1e6,
            SHORT_S,
        )
        now = float(number)
        context.queue.offer(job, now)
        if number % 2:
            context.queue.cancel(job.request_id, now)
            continue
        for work, _ in start_all(context.queue, now):
            context.queue.finish(work, now + SHORT_S)


@then("the queue and its policy hold a bounded number of items")
def step_bounded_memory(context):
    group = context.queue._lanes.customer
    for number in range(5):
        context.queue.offer(make_job(f"kept-{number}", 1e6), 0.0)
    start_all(context.queue, 0.0)
    for number in range(1000):
        context.queue.offer(make_job(number, 1e6), 0.0)
        context.queue.cancel(RequestId(f"job-{number}"), 0.0)
    (waiting,) = group.short._workspaces.values()
    assert len(waiting.heap) <= 40, len(waiting.heap)
    context.queue.cancel(RequestId("job-kept-4"), 0.0)
    assert context.policy.route_count == 100, context.policy.route_count
    assert context.queue.waiting == 0
    assert len(context.queue._entries) == 4
    assert len(group.short._ring) + len(group.short._workspaces) <= 32
    assert len(group.expiry._heap) <= 64, len(group.expiry._heap)


FAULTS = {
    "a past deadline": {"deadline": -1.0},
    "an infinite deadline": {"deadline": math.inf},
    "a NaN deadline": {"deadline": math.nan},
    "a negative duration": {"run_s": -1.0},
    "a huge duration": {"run_s": 1e300},
    "a duplicate id": {},
    "no usable server": {},
}


@when("work with {fault} is offered")
def step_fault(context, fault):
    if fault == "a duplicate id":
        context.queue.offer(make_job("bad"), 0.0)
    if fault == "no usable server":
        for index in range(3):
            context.queue.set_usable(f"server-{index}", 0)
    context.offer = context.queue.offer(make_job("bad", **FAULTS[fault]), 0.0)


@then('the offer is refused as "{disposition}" because of "{reason}"')
def step_offer_refused(context, disposition, reason):
    assert context.offer.disposition.value == disposition, context.offer
    assert context.offer.reason.value == reason, context.offer


@then("slot counts of -1, 1000000 and 1.5 are rejected and 0 takes no work")
def step_slot_counts(context):
    for slots in (-1, 1_000_000, 1.5):
        change = context.queue.set_server("server-0", slots)
        assert change is ServerChange.REJECTED, (slots, change)
    change = context.queue.set_server("server-9", 0)
    assert change is ServerChange.WITHOUT_SLOTS, change
    assert context.queue.measure_load(0.0).total_slots == 12


@then("a drained server stays drained when it announces other slots")
def step_drained(context):
    context.queue.set_usable("server-0", 0)
    context.queue.set_server("server-0", 8)
    assert context.queue.measure_load(0.0).total_slots == 8
    context.queue.set_usable("server-0", None)
    assert context.queue.measure_load(0.0).total_slots == 16
