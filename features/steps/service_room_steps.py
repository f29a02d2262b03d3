"""Check the judgement of a service as a whole."""

import random
from dataclasses import replace

from behave import given, then, when

from benchmarks.domain_fleet import ORDERS, ROUTE
from features.steps.balance_steps import (
    NOW,
    REPORT,
    add_view,
    create_scheduling,
    make_query,
)
from features.support.scheduling import CostHarness
from flamingobank.sidecar.callers.scheduling import Candidates
from flamingobank.sidecar.decisions.service_room import HomeCounts, ServiceRoom
from flamingobank.sidecar.fleet.routes import RouteKind

SHORT = replace(REPORT, running=4, waiting=20, backlog_s=9.0, shedding=0.6)


@given(
    "{count:d} homes whose servers reject {shedding:f} of their requests, with a "
    "backlog of {backlog:f} s"
)
def step_shedding_homes(context, count, shedding, backlog):
    scripts = [["busy"] * 500 for _ in range(count)]
    context.harness = CostHarness(RouteKind.SAFE, scripts)
    for home in context.harness.homes.values():
        home.report = replace(SHORT, shedding=shedding, backlog_s=backlog)


@when("safe requests arrive for {seconds:d} s")
def step_arrive(context, seconds):
    harness = context.harness
    context.ends = []
    ends_at = harness.loop.clock.now() + seconds
    while harness.loop.clock.now() < ends_at:
        started_at = harness.loop.clock.now()
        offers = len(harness.offers)
        status = harness.serve()
        took_s = harness.loop.clock.now() - started_at
        context.ends.append((status, took_s, len(harness.offers) > offers))
        harness.loop.advance(0.02)


@then(
    "at least {share:f} of them are refused within {limit:f} s, and none may have run"
)
def step_refused_early(context, share, limit):
    early = [
        end for end in context.ends if end[0] == 503 and end[1] <= limit and not end[2]
    ]
    assert len(early) >= share * len(context.ends), context.ends
    assert not context.harness.commits


@then("at least one in {count:d} of them is offered anyway")
def step_floor(context, count):
    offered = sum(end[2] for end in context.ends)
    assert offered >= len(context.ends) / count, context.ends


@then("requests are served again within {limit:d} s after the homes have room")
def step_served_again(context, limit):
    harness = context.harness
    for home in harness.homes.values():
        home.script = ["grant", 200] * 500
        home.report = REPORT
    ends_at = harness.loop.clock.now() + limit
    while harness.loop.clock.now() < ends_at:
        served = harness.serve() == 200
        harness.loop.advance(0.1)
    assert served


@given("a service short of room whose earliest completion is {done:f} s")
def step_short_service(context, done):
    context.earliest_s = done
    context.room = ServiceRoom()
    for priority in (0, 1, 2) * 60:
        context.room.update(HomeCounts(12, 12, 12), priority)


@then("requests of the priorities {refused} are refused")
def step_priorities(context, refused):
    query = make_query(random.Random(1))
    found = [
        str(priority)
        for priority in (0, 1, 2)
        if context.room.should_refuse(query, context.earliest_s, priority, NOW)
    ]
    assert found == ([] if refused == "none" else refused.split()), found


@then(
    "a request with a timeout of {timeout:d} s that has {left:d} s left is offered "
    "like a new one"
)
def step_returner(context, timeout, left):
    route = replace(ROUTE, timeout_s=float(timeout))
    for remaining_s in (left, timeout):
        query = make_query(random.Random(1), route=route, deadline=NOW + remaining_s)
        refused = context.room.should_refuse(query, context.earliest_s, 1, NOW)
        assert not refused, remaining_s


def judge(context, short):
    """Let the entry judge the service when some of its homes are short."""
    for number, view in enumerate(context.views):
        view.report = SHORT if number < short else REPORT
    context.scheduling.find_shortage(
        ORDERS,
        lambda: Candidates(context.views, []),
        make_query(random.Random(1)),
        1,
        NOW,
    )


@given(
    "a service of {count:d} homes, {recent:d} of which reported recently and {short:d} "
    "are short"
)
def step_homes(context, count, recent, short):
    context.scheduling = create_scheduling()
    for number in range(count):
        add_view(context, reported_at=NOW - (0.5 if number < recent else 9.0))
    judge(context, short)


@when("{short:d} of its homes are short")
def step_change(context, short):
    judge(context, short)


@then("the service {verdict} short of room")
def step_verdict(context, verdict):
    assert context.scheduling.may_hedge(ORDERS) == (verdict == "is not")


@given(
    "{count:d} homes that do not answer, whose servers reject {shedding:f} of their "
    "requests"
)
def step_hanging_homes(context, count, shedding):
    scripts = [["grant", 200, "grant", "hang"] for _ in range(count)]
    context.harness = CostHarness(RouteKind.SAFE, scripts)
    for home in context.harness.homes.values():
        home.report = replace(REPORT, shedding=shedding)


@when("a request waits there until its deadline")
def step_wait(context):
    for _ in range(30):
        if all(len(home.script) == 2 for home in context.harness.homes.values()):
            break
        for home in context.harness.homes.values():
            home.is_usable = len(home.script) > 2
        context.harness.serve()
    for home in context.harness.homes.values():
        home.is_usable = True
    context.offers = len(context.harness.offers)
    context.harness.serve()


@then("{hedges:d} hedges are sent")
def step_hedges(context, hedges):
    assert len(context.harness.offers) - context.offers == 1 + hedges


@given("{count:d} homes whose servers reject all requests and have no backlog")
def step_rejecting_homes(context, count):
    scripts = [["grant", "not-run"] * 9 for _ in range(count)]
    context.harness = CostHarness(RouteKind.UNSAFE, scripts, retries=1000.0)
    for home in context.harness.homes.values():
        home.report = replace(REPORT, shedding=1.0)


@then("its offers are at least {least:f} s apart")
def step_apart(context, least):
    # The first request tells the entry that the service is short.
    harness = context.harness
    offered = len(harness.offers)
    started_at = harness.loop.clock.now()
    harness.serve(RouteKind.UNSAFE)
    took_s = harness.loop.clock.now() - started_at
    count = len(harness.offers) - offered
    assert count > 1 and took_s >= least * (count - 1), (count, took_s)
