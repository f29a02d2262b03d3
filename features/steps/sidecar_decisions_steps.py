"""Check the decision rules of a sidecar without a network."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from flamingobank.core import (
    FailureDomain,
    InstanceId,
    NodeId,
    RouteName,
    ServiceName,
)
from flamingobank.sidecar.decisions.failure_estimate import (
    LONG_RUN_PROBABILITY,
    FailureEstimate,
)
from flamingobank.sidecar.decisions.home_subset import HomeSubset
from flamingobank.sidecar.decisions.offer_admission import (
    FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY,
    AdmissionState,
    OfferVerdict,
    decide_offer,
)
from flamingobank.sidecar.decisions.refusals import (
    RETRY_AFTER_TIMES_S,
    choose_retry_after,
)
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter, RetryBudget
from flamingobank.sidecar.decisions.selection import HomeView, rank_homes
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.fleet.routes import (
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
    choose_target,
    pack_table,
    unpack_table,
)
from flamingobank.sidecar.fleet.server_state import (
    AnnouncedServer,
    Announcement,
    Departure,
    Lifecycle,
)
from flamingobank.sidecar.links.messages import HomeReport

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=100)
ORDERS = ServiceName("orders")


def make_route(host="x.example", prefix="/a/", kind=RouteKind.SAFE, **changes):
    """Return a route with default values, except for the given changes."""
    route = Route(
        RouteName(prefix),
        host,
        prefix,
        kind,
        (WeightedService(ORDERS, 1.0),),
        3.0,
        1.0,
        2,
        1,
    )
    return replace(route, **changes)


@when("a working server answers 50 requests in 10 seconds and then fails one")
def step_fail_once(context):
    context.failure_estimate = FailureEstimate(0.0)
    for step in range(50):
        context.failure_estimate.observe(False, step * 0.2)
    context.failure_estimate.observe(True, 10.0)


@then("it gets no final attempts")
def step_no_final_attempts(context):
    assert (
        context.failure_estimate.read(10.0) > FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY
    ), context.failure_estimate.read(10.0)


@then("after one more failure and a success it still gets none")
def step_still_no_final_attempts(context):
    context.failure_estimate.observe(True, 10.2)
    context.failure_estimate.observe(False, 10.4)
    assert (
        context.failure_estimate.read(10.4) > FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY
    ), context.failure_estimate.read(10.4)


@then("after three successes in all it gets them again")
def step_final_attempts_again(context):
    context.failure_estimate.observe(False, 10.6)
    context.failure_estimate.observe(False, 10.8)
    assert (
        context.failure_estimate.read(10.8) < FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY
    ), context.failure_estimate.read(10.8)


@when("random outcomes are followed by a minute without outcomes")
def step_random_outcomes(context):
    context.ends = []

    @RANDOMISED
    @for_all(st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=30))
    def run(outcomes):
        failure_estimate, now = FailureEstimate(0.0), 0.0
        for failed, wait_s in outcomes:
            now += wait_s
            failure_estimate.observe(failed, now)
            assert 0 < failure_estimate.read(now) < 1
        context.ends.append(failure_estimate.read(now + 60))

    run()


@then("the failure estimate is always a probability and ends at the long-run share")
def step_long_run(context):
    assert all(abs(end - LONG_RUN_PROBABILITY) < 1e-6 for end in context.ends)


class GrayFailureModel:
    """Simulate 12 servers that fail 80% of their requests for 3 s in every 12 s.

    Homes are chosen by their failure estimates or, for comparison, at random.
    """

    def __init__(self, seed, uses_estimates):
        self.rng = random.Random(seed)
        self.uses_estimates = uses_estimates
        self.failure_estimates = [FailureEstimate(0.0) for _ in range(12)]
        self.phases = [self.rng.uniform(0, 12) for _ in range(12)]
        self.final_attempt_outcomes = [0, 0]
        self.served = [[0.0] for _ in range(12)]

    def is_failing(self, server, now):
        return (now + self.phases[server]) % 12 < 3

    def run(self, seconds):
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(60)
            self.serve(now, final_attempt=self.rng.random() < 0.7)

    def serve(self, now, final_attempt):
        server = self.choose(now, final_attempt)
        failure_rate = 0.8 if self.is_failing(server, now) else 0.012
        failed = self.rng.random() < failure_rate
        self.failure_estimates[server].observe(failed, now)
        self.served[server].append(now)
        if final_attempt:
            self.final_attempt_outcomes[failed] += 1

    def choose(self, now, final_attempt):
        if not self.uses_estimates:
            return self.rng.randrange(12)
        views = []
        for server, failure_estimate in enumerate(self.failure_estimates):
            view = HomeView(NodeId(str(server)), True)
            running = sum(1 for time in self.served[server][-9:] if time > now - 0.25)
            report = HomeReport(
                "orders", failure_estimate.read(now), running, 0, 4, True
            )
            view.update_report(report, now)
            view.reported_at = self.served[server][-1]
            views.append(view)
        for view in rank_homes(views, RouteKind.SAFE, final_attempt, now, self.rng):
            running = view.report.running
            state = AdmissionState(view.report.failing, running, 0, 0, 4, 0.2, 0.0)
            if (
                decide_offer(final_attempt, False, 2.0, 1.0, state, now).verdict
                is OfferVerdict.GRANT
            ):
                return int(view.node)
        return self.rng.randrange(12)


@when("12 servers with gray failures a quarter of the time serve a mixed load")
def step_run_models(context):
    context.models = [GrayFailureModel(3, True), GrayFailureModel(3, False)]
    for model in context.models:
        model.run(120)


@then("final attempts fail less than a third as often as with random choice")
def step_fails_less(context):
    ratios = [
        model.final_attempt_outcomes[1] / sum(model.final_attempt_outcomes)
        for model in context.models
    ]
    assert ratios[0] < ratios[1] / 3, ratios


@then("at least {floor:f} of the healthy servers get requests in any two seconds")
def step_keeps_work(context, floor):
    model = context.models[0]
    for start in range(0, 118):
        # Counts only servers that are healthy in the interval and the 2 s before it.
        working = [
            server
            for server in range(12)
            if not any(model.is_failing(server, start - 2 + step) for step in range(5))
        ]
        served = [
            server
            for server in working
            if any(start <= time < start + 2 for time in model.served[server])
        ]
        assert len(served) >= floor * len(working), (start, served, working)


@given(
    "a server with failure probability {failing:f}, {running:d} of 4 slots in use and "
    "{waiting:d} waiting"
)
def step_home_state(context, failing, running, waiting):
    context.admission_state = AdmissionState(
        failing, running, waiting, waiting, 4, 0.25, -9.0
    )


@when("a forced attempt with {objective:f} s to its objective and 4 s left arrives")
def step_offer_objective(context, objective):
    context.decision = decide_offer(
        True, True, 4.0, objective, context.admission_state, 0.0
    )


@when("a {attempt} attempt with {left:d} s left is offered{forced}")
def step_offer_forced(context, attempt, left, forced):
    _offer(context, attempt, left, forced == "by force")


@when("a {attempt} attempt with {left:d} s left is offered")
def step_offer(context, attempt, left):
    _offer(context, attempt, left, False)


def _offer(context, attempt, left, forced):
    context.decision = decide_offer(
        attempt == "final", forced, left, left, context.admission_state, 0.0
    )


@then("the offer is {verdict}")
def step_verdict(context, verdict):
    decision = context.decision
    seen = decision.reason.value if decision.reason else decision.verdict.value
    assert seen == verdict, f"verdict on the offer is {seen}, expected {verdict}"


@when("7 entries send random requests and retries for a minute")
def step_send_random_retries(context):
    rng = random.Random(11)
    budgets = [RetryBudget(0.2, 56, 10.0) for _ in range(7)]
    context.requests, context.retries = [], []
    now = 0.0
    while now < 60:
        now += rng.expovariate(80)
        budget = rng.choice(budgets)
        budget.count_request(ORDERS, now)
        context.requests.append(now)
        while rng.random() < 0.6 and budget.try_spend(ORDERS, 7, now):
            context.retries.append(now)


@then("no window of 10 seconds has more retries than the fleet allows")
def step_retries_bounded(context):
    assert len(context.retries) > 500, len(context.retries)
    for end in context.retries:
        retries = sum(1 for time in context.retries if end - 10 < time <= end)
        requests = sum(1 for time in context.requests if end - 10 < time <= end)
        assert retries <= 0.2 * requests + 56, (end, retries, requests)


@when("an entry counts 10 requests a second for an hour without asking for retries")
def step_count_for_long(context):
    context.budget = RetryBudget(0.2, 56.0, 10.0)
    for number in range(36_000):
        context.budget.count_request(ORDERS, number / 10)


@then("its budget holds at most the times of {seconds:d} seconds")
def step_holds(context, seconds):
    held = len(context.budget._requests[ORDERS])
    assert held <= 10 * seconds + 1, held


@given("an entry that may send 3 retries")
def step_small_budget(context):
    context.budget = RetryBudget(0.0, 3.6, 10.0)
    context.run_limiter = RepeatedRunLimiter(context.budget, lambda: 1)
    context.run_limiter.start_run()
    assert context.budget.compute_allowance(ORDERS, 1, 0.0) > 3


@when("3 calls of repeated runs are counted")
def step_count_repeats(context):
    for _ in range(3):
        context.run_limiter.note_request(ORDERS, 0.0)


@then("no retry may be sent")
def step_no_retry(context):
    assert not context.budget.try_spend(ORDERS, 1, 0.1)


class CallingMachine:
    """Retry budget of one machine, and the limiter of its repeated runs.

    The limiter counts the calls that repeated runs make against the budget.
    """

    def __init__(self):
        self.budget = RetryBudget(0.2, 60, 10.0)
        self.run_limiter = RepeatedRunLimiter(self.budget, lambda: 12)


@when("12 machines repeat a third of their runs, each of which makes two calls")
def step_repeat_runs(context):
    rng = random.Random(4)
    machines = [CallingMachine() for _ in range(12)]
    called = ServiceName("called")
    context.requests, context.retries, context.denied = [], [], 0
    now = 0.0
    while now < 60:
        now += rng.expovariate(40)
        machine = rng.choice(machines)
        repeated = rng.random() < 0.34
        for _ in range(2 if not repeated else 0):
            machine.budget.count_request(called, now)
            context.requests.append(now)
        if not repeated:
            continue
        # The repeated run takes place on another machine, whose entry makes its calls.
        home = rng.choice(machines)
        if not home.run_limiter.can_start_run(now):
            context.denied += 1
            continue
        home.run_limiter.start_run()
        for _ in range(2):
            home.budget.count_request(called, now)
            home.run_limiter.note_request(called, now)
            context.requests.append(now)
            context.retries.append(now)
        home.run_limiter.end_run()


@then("no window of 10 seconds has more retries at the called service than allowed")
def step_called_budget(context):
    for end in context.retries:
        retries = sum(1 for time in context.retries if end - 10 < time <= end)
        requests = sum(1 for time in context.requests if end - 10 < time <= end)
        assert retries <= 0.2 * requests + 60, (end, retries, requests)


@then("repeated runs go on while the called service's budget lasts")
def step_repeated_runs_go_on(context):
    assert context.denied > 0
    assert len(context.retries) > 500, len(context.retries)


@when("1000 callers are refused for each cause")
def step_refuse(context):
    rng = random.Random(5)
    context.retry_times = {
        cause: [choose_retry_after(cause, rng) for _ in range(1000)]
        for cause in RETRY_AFTER_TIMES_S
    }


@then("no tenth of the range of retry delays holds more than a fifth of them")
def step_spread(context):
    for cause, retry_times in context.retry_times.items():
        first, last = min(retry_times), max(retry_times)
        width = (last - first) / 10
        for tenth in range(10):
            start = first + tenth * width
            count = sum(1 for time in retry_times if start <= time < start + width)
            assert count <= 200, (cause, start, count)


@given('a table with routes "{first}" and "{second}" of host "{host}"')
def step_table(context, first, second, host):
    routes = (make_route(host, first), make_route(host, second))
    context.routing = RoutingTable(1, routes, frozenset([ORDERS]), RequestLimits())


@then('host "{host}" and path "{path}" match route "{prefix}"')
def step_found(context, host, path, prefix):
    route = context.routing.find(host, path)
    assert route is not None and route.prefix == prefix, route


@then('host "{host}" and path "{path}" match no route')
def step_not_found(context, host, path):
    assert context.routing.find(host, path) is None


@when("10000 requests choose between weights 90 and 10")
def step_weights(context):
    rng = random.Random(2)
    targets = (WeightedService(ORDERS, 90), WeightedService(ServiceName("b"), 10))
    route = make_route(targets=targets)
    context.chosen = [choose_target(route, rng.random()) for _ in range(10_000)]


@then("the second target gets between {low:f} and {high:f} of them")
def step_shares(context, low, high):
    share = context.chosen.count("b") / len(context.chosen)
    assert low < share < high, share


@when("random routing tables are packed and unpacked")
def step_pack_tables(context):
    texts = st.text(max_size=8)
    routes = st.builds(
        make_route,
        texts,
        texts,
        st.sampled_from(RouteKind),
        timeout_s=st.floats(0, 60),
        max_attempts=st.integers(1, 5),
    )
    context.pairs = []

    @RANDOMISED
    @for_all(st.integers(0, 2**32), st.lists(routes, max_size=5))
    def run(version, found):
        table = RoutingTable(version, tuple(found), frozenset("ab"), RequestLimits())
        context.pairs.append((table, unpack_table(pack_table(table))))

    run()


@then("each is equal to the original")
def step_equal_tables(context):
    assert all(before == after for before, after in context.pairs)


def make_record(node="n", incarnation=1, revision=1, host="10.0.0.1", **changes):
    """Return a sidecar's peer record with default values, except for the changes."""
    record = PeerRecord(
        NodeId(node),
        incarnation,
        revision,
        (host, 7380),
        FailureDomain("graz-a"),
        ORDERS,
        True,
        False,
        (),
    )
    return replace(record, **changes)


@when("random records are merged in random orders by several tables")
def step_merge(context):
    context.tables = []
    records = st.builds(
        lambda node, incarnation, revision: make_record(
            f"n{node}", incarnation, revision, f"10.0.0.{node}"
        ),
        st.integers(1, 4),
        st.integers(1, 3),
        st.integers(1, 3),
    )

    @RANDOMISED
    @for_all(st.lists(records, max_size=12), st.randoms(use_true_random=False))
    def run(found, rng):
        tables = []
        for _ in range(3):
            order = found + found[: len(found) // 2]
            rng.shuffle(order)
            table = PeerTable(make_record("own", host="10.0.0.9"))
            for record in order:
                table.merge(record, 0.0)
            tables.append(table)
        context.tables.append(tables)

    run()


@then("all tables hold the same newest records")
def step_converged(context):
    for tables in context.tables:
        assert len({table.digest for table in tables}) == 1
        for record in tables[0].list_peers():
            assert tables[1].find(record.node) == record


@given("a table whose process started at {started:d}")
def step_own_table(context, started):
    context.peers = PeerTable(make_record("own", started))


@when("a record of its own start at {started:d} arrives")
def step_own_record(context, started):
    context.former = make_record("own", started, 7)
    context.peers.merge(context.former, 0.0)


@then("its own record is newer than that")
def step_own_newer(context):
    assert context.peers.local_record.version > context.former.version


@given('a table that knows "{node}" at {host}')
def step_known_peer(context, node, host):
    context.peers = PeerTable(make_record("own", host="10.0.0.1"))
    context.peers.merge(make_record(node, 1, 1, host), 0.0)


@when('"{node}" announces itself at {host}')
def step_announce_peer(context, node, host):
    context.peers.merge(make_record(node, 2, 1, host), 1.0)


@then('the table knows only "{node}"')
def step_only_peer(context, node):
    assert [peer.node for peer in context.peers.list_peers()] == [node]


def make_announcement(instance, started, sequence, lifecycle=Lifecycle.READY):
    """Return an announcement of a server with default values."""
    return Announcement(
        InstanceId(instance),
        started,
        sequence,
        ORDERS,
        ("127.0.0.1", 8080),
        "v1",
        4,
        lifecycle,
        0.0,
    )


@given('a server "{instance}" that started at {started:d} and announced {sequence:d}')
def step_server(context, instance, started, sequence):
    context.server = AnnouncedServer()
    context.server.take(make_announcement(instance, started, sequence), 0.0, started)


@given(
    'a home that learned from peers that "{instance}" started at {started:d} has left'
)
def step_recalled(context, instance, started):
    context.server = AnnouncedServer()
    context.server.recall_departures({(InstanceId(instance), started)})


@when('"{instance}" started at {started:d} announces {sequence:d} as {state}')
def step_announce(context, instance, started, sequence, state):
    announcement = make_announcement(instance, started, sequence, Lifecycle(state))
    context.server.take(announcement, 1.0, 1000)


@when("it departs and a late announcement with sequence {sequence:d} arrives")
def step_depart(context, sequence):
    current = context.server.current
    context.server.take_departure(Departure(current.instance, None), 200)
    context.server.take(
        make_announcement(current.instance, current.started_ms, sequence), 2.0, 200
    )


@then('the home {sends} work to "{instance}"')
def step_sends(context, sends, instance):
    assert context.server.current.instance == instance
    assert context.server.accepts_work == (sends == "sends")


@then('a new start of "{instance}" at {started:d} gets work')
def step_new_start(context, instance, started):
    context.server.take(make_announcement(instance, started, 1), 3.0, started)
    assert context.server.accepts_work


@given("a service with {count:d} homes in 6 failure domains and {entries:d} entries")
def step_large_service(context, count, entries):
    context.homes = [
        make_record(
            f"h{i}", host=f"10.1.0.{i}", failure_domain=FailureDomain(f"z{i % 6}")
        )
        for i in range(count)
    ]
    context.subsets = [
        HomeSubset(NodeId(f"e{i}"), FailureDomain(f"z{i % 6}")) for i in range(entries)
    ]


@when("each entry chooses its homes")
def step_choose_subsets(context):
    context.chosen = [
        [home.node for home in subset.choose(context.homes)]
        for subset in context.subsets
    ]


@then(
    "each home is used by at least {least:d} entries of at least {domains:d} failure "
    "domains"
)
def step_homes_covered(context, least, domains):
    for home in context.homes:
        users = [
            number for number, nodes in enumerate(context.chosen) if home.node in nodes
        ]
        assert len(users) >= least, (home.node, users)
        assert len({number % 6 for number in users}) >= domains, (home.node, users)


@then("no home is used by more than three times as many entries as the average")
def step_homes_balanced(context):
    counts = Counter(node for nodes in context.chosen for node in nodes)
    average = counts.total() / len(context.homes)
    assert max(counts.values()) <= 3 * average, counts.most_common(3)


@when("one home leaves")
def step_home_leaves(context):
    context.left = context.homes[7].node
    remaining = [home for home in context.homes if home.node != context.left]
    context.chosen_after = [
        [home.node for home in subset.choose(remaining)] for subset in context.subsets
    ]


@then("entries that did not use it keep their homes, and the others replace only it")
def step_subsets_stable(context):
    for before, after in zip(context.chosen, context.chosen_after, strict=True):
        assert len(after) == len(before), (before, after)
        expected_change = {context.left} & set(before)
        assert set(before) - set(after) == expected_change, (before, after)


@given('a home whose servers "z1" to "z9" and "a1" to "a9" have left one after another')
def step_many_departures(context):
    context.server = AnnouncedServer()
    names = [f"{letter}{number}" for letter in "za" for number in range(1, 10)]
    for started, name in enumerate(names):
        context.server.take(make_announcement(name, started, 1), 0.0, started)
        context.server.take_departure(Departure(InstanceId(name), started), started)


@then('the {count:d} departures that it publishes are those of "a2" to "a9"')
def step_latest_departures(context, count):
    departures = context.server.list_latest_departures(count)
    names = [instance for instance, _ in departures]
    assert names == [f"a{number}" for number in range(2, 10)], names
