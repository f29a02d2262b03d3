"""Check the choice of homes by cost."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from benchmarks.domain_fleet import (
    OBJECTIVE_S,
    ORDERS,
    ROUTE,
    TIMEOUT_S,
    WORK_S,
    DomainFleet,
)
from features.steps.sidecar_decisions_steps import make_record
from features.support.scheduling import CostHarness
from flamingobank.core import NodeId, ServiceName
from flamingobank.sidecar.callers.cost_scheduling import SchedulingByCost
from flamingobank.sidecar.callers.scheduling import Candidates
from flamingobank.sidecar.decisions.home_choice import HomeQuery
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RouteKind, WeightedService
from flamingobank.sidecar.links.messages import HomeReport

NOW = 100.0
REPORT = HomeReport(ORDERS, 0.03, 1, 0, 4, True, 4)
BILLING = ServiceName("billing")


def create_scheduling():
    """Return a scheduling by cost that knows the route's work."""
    scheduling = SchedulingByCost(EventLog("own"))
    scheduling.note_answer(ORDERS, ROUTE, WORK_S, 1.0, NOW - 1)
    return scheduling


def make_query(rng, now=NOW, **changes):
    """Return the query of a new request."""
    query = HomeQuery(ROUTE, True, now + OBJECTIVE_S, now + TIMEOUT_S, rng.random())
    return replace(query, **changes)


def add_view(context, own=True, reported_at=NOW - 0.1, **changes):
    """Add a view of a home whose report has the given changes."""
    views = context.views = getattr(context, "views", [])
    view = HomeView(NodeId(f"h{len(views)}"), own)
    view.update_report(replace(REPORT, **changes), reported_at)
    views.append(view)
    return view


def choose_homes(context, count, now=NOW, **changes):
    """Return how many of new requests choose each home, with unchanged reports."""
    rng = random.Random(1)
    scheduling = create_scheduling()
    candidates = Candidates(context.views, [])
    chosen = Counter()
    for _ in range(count):
        choice = scheduling.choose(
            candidates, set(), [], make_query(rng, now, **changes), now, rng
        )
        chosen[choice.home.node] += 1
    return chosen


@when("4 failure domains at {load:f} of their capacity have their crests in turn")
def step_crests(context, load):
    options = {"homes": (6, 6, 6, 5), "load": load}
    context.by_load = DomainFleet(**options).run(25)
    context.fleet = DomainFleet(create_scheduling, **options)
    context.counts = context.fleet.run(25)


@then("at least {share:f} of the answers are on time")
def step_on_time(context, share):
    assert context.counts["on time"] >= share * context.counts["sent"], context.counts


@then("at most {share:f} of the requests leave their failure domain")
def step_few_leave(context, share):
    assert context.counts["left"] <= share * context.counts["sent"], context.counts


@then("fewer than half as many leave it as with a choice by load")
def step_fewer_leave(context):
    shares = [
        counts["left"] / counts["sent"] for counts in (context.counts, context.by_load)
    ]
    assert shares[0] < shares[1] / 2, shares


@when("every fourth server takes twice as long at {load:f} of the capacity")
def step_slow_servers(context, load):
    context.fleet = DomainFleet(
        create_scheduling, homes=(6, 6, 6, 5), load=load, paces=(1.0, 1.0, 1.0, 2.0)
    )
    context.counts = context.fleet.run(25)


@then("slow servers get between {least:f} and {most:f} of the requests of fast ones")
def step_slow_share(context, least, most):
    served = {1.0: [], 2.0: []}
    for home in context.fleet.homes.values():
        served[home.pace].append(home.served)
    means = {pace: sum(counts) / len(counts) for pace, counts in served.items()}
    assert least <= means[2.0] / means[1.0] <= most, means


@given("an own home with {waiting:d} waiting requests and a backlog of {backlog:f} s")
def step_queue(context, waiting, backlog):
    running = 4 if backlog else 0
    add_view(context, running=running, waiting=waiting, backlog_s=backlog)


@given("an own home with a failure probability of {failing:f}")
def step_own_failing(context, failing):
    add_view(context, failing=failing)


@given("a home of another failure domain with a failure probability of {failing:f}")
def step_other_failing(context, failing):
    add_view(context, own=False, failing=failing, running=0)


@given("3 own homes with a backlog of {backlog:f} s and 3 idle ones of another domain")
def step_own_backlog(context, backlog):
    for _ in range(3):
        add_view(context, running=4, backlog_s=backlog)
        add_view(context, own=False, running=0)


@given("4 own homes, one of which the entry has known for {age:f} s")
def step_new_home(context, age):
    for _ in range(4):
        add_view(context)
    context.views[0].first_seen_at = NOW - age


@given("an own home without a report")
def step_unknown_home(context):
    add_view(context).report = None


@when("{count:d} requests choose a home")
def step_choose(context, count):
    context.chosen = choose_homes(context, count)


@then('all of them choose the home "{node}"')
def step_all_choose(context, node):
    assert list(context.chosen) == [node], context.chosen


@then('most of them choose the home "{node}"')
def step_most_choose(context, node):
    assert context.chosen[node] > 0.7 * context.chosen.total(), context.chosen


@then("between {least:f} and {most:f} of them leave the failure domain")
def step_share_leaves(context, least, most):
    own = {view.node for view in context.views if view.same_failure_domain}
    left = sum(count for node, count in context.chosen.items() if node not in own)
    assert least <= left / context.chosen.total() <= most, context.chosen


@then("the new home gets between {least:f} and {most:f} of them")
def step_new_gets(context, least, most):
    assert least <= context.chosen["h0"] / 900 <= most, context.chosen


@then("it gets between {least:f} and {most:f} of them {later:d} s later")
def step_later_gets(context, least, most, later):
    for view in context.views:
        view.reported_at += later
    chosen = choose_homes(context, 900, NOW + later)
    assert least <= chosen["h0"] / 900 <= most, chosen


@given(
    "{count:d} entries that know of one idle home and {others:d} with a backlog of "
    "{backlog:f} s"
)
def step_entries(context, count, others, backlog):
    context.entries = []
    for _ in range(count):
        context.views = []
        add_view(context, reported_at=NOW - 0.3, running=0)
        for _ in range(others):
            add_view(context, reported_at=NOW - 0.3, running=4, backlog_s=backlog)
        context.entries.append(context.views)


@when("each entry chooses a home for {count:d} requests")
def step_entries_choose(context, count):
    rng = random.Random(1)
    context.chosen = Counter()
    for views in context.entries:
        scheduling = create_scheduling()
        for _ in range(count):
            choice = scheduling.choose(
                Candidates(views, []), set(), [], make_query(rng), NOW, rng
            )
            scheduling.note_offer(choice.home, ROUTE)
            context.chosen[choice.home.node] += 1


@then("at most {share:f} of the requests go to one home")
def step_spread(context, share):
    assert max(context.chosen.values()) <= share * context.chosen.total()


@then("at least {count:d} homes get requests")
def step_homes_get(context, count):
    assert len(context.chosen) >= count, context.chosen


@given(
    "{count:d} homes that state a backlog of {backlog:f} s and refuse requests without "
    "force"
)
def step_busy_homes(context, count, backlog):
    context.harness = CostHarness(RouteKind.SAFE, [["busy"] for _ in range(count)])
    for home in context.harness.homes.values():
        home.report = replace(REPORT, running=4, backlog_s=backlog)
        home.queues_forced = True


@when("a request is served")
def step_serve_one(context):
    context.harness.run(0.5)


@then("it was queued after at most {count:d} busy answers")
def step_queued(context, count):
    forced = [offer.forced for offer in context.harness.offers]
    assert sum(forced) == 1 and len(forced) <= count + 1, forced


@given("a route with weights 70 and 30 whose second target has no room")
def step_weighted(context):
    harness = CostHarness(RouteKind.SAFE, [["grant", 200] * 300 for _ in range(8)])
    context.harness = harness
    targets = (WeightedService(ORDERS, 70.0), WeightedService(BILLING, 30.0))
    harness.change_route(targets=targets)
    for number in range(4):
        node = f"h{number}"
        record = make_record(node, host=f"10.0.1.{number}", service=BILLING, revision=2)
        harness.peers.merge(record, 0.0)
        harness.homes[node].script = []
        harness.homes[node].report = replace(
            REPORT, service=BILLING, running=4, waiting=20, backlog_s=9.0
        )


@when("{count:d} requests arrive")
def step_arrive(context, count):
    context.statuses = Counter(context.harness.serve() for _ in range(count))


@then("between {least:f} and {most:f} of them are refused and none of those moves")
def step_refused_share(context, least, most):
    total = context.statuses.total()
    assert least <= context.statuses[503] / total <= most, context.statuses
    assert context.statuses[200] == total - context.statuses[503], context.statuses


@given(
    "{count:d} idle own homes, {shedding:d} of whose servers reject {share:f} of their "
    "requests"
)
def step_some_shed(context, count, shedding, share):
    for number in range(count):
        rejected = share if number < shedding else 0.0
        reported_at = NOW - 0.1 - 0.2 * (number % 5)
        add_view(context, True, reported_at, running=0, shedding=rejected)


@given("{count:d} of them are of an earlier build that states no rejections")
def step_earlier_build(context, count):
    for view in context.views[:count]:
        view.report = replace(view.report, limit=0, shedding=0.0)


@when(
    "{count:d} repeatable requests choose a home {later:d} s later, as the others "
    "report again"
)
def step_choose_later(context, count, later):
    for view in context.views[1:]:
        view.reported_at += later
    context.chosen = choose_homes(context, count, NOW + later, final_attempt=False)


@then("the first home gets between {least:f} and {most:f} of them")
def step_first_gets(context, least, most):
    share = context.chosen["h0"] / context.chosen.total()
    assert least <= share <= most, context.chosen


@then("each of them chooses as if no server rejected requests")
def step_choose_alike(context):
    for view in context.views:
        view.report = replace(view.report, shedding=0.0)
    assert context.chosen == choose_homes(context, 300), context.chosen
