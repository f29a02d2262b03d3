"""Check what an entry tells homes about a request."""

from behave import given, then, when

from features.support.scheduling import CostHarness
from flamingobank.core import RouteName
from flamingobank.sidecar.decisions.route_work import RouteWork
from flamingobank.sidecar.fleet.routes import RouteKind

LOOKUP = RouteName("lookup")


@when("a route answers in 0.6 s at pace 2 and in 0.3 s at pace 1, in turn")
def step_observe_work(context):
    context.work = RouteWork()
    for _ in range(20):
        context.work.observe(LOOKUP, 0.6, 2.0)
        context.work.observe(LOOKUP, 0.3, 1.0)


@then("its work is estimated at {expected_s:f} s")
def step_work(context, expected_s):
    assert abs(context.work.read(LOOKUP) - expected_s) < 0.001


@given("a route that is {access} in a configuration that schedules by {way}")
def step_route(context, access, way):
    context.harness = CostHarness(
        RouteKind.SAFE,
        [["grant", 200] * 4],
        by_cost=way == "cost",
        public=access == "public",
    )


@when("{count:d} requests are answered one after another")
def step_answered(context, count):
    for _ in range(count):
        assert context.harness.serve() == 200


@then("the last offer {states} its route, its work and that it is {origin}")
def step_fields(context, states, origin):
    offer = context.harness.offers[-1]
    assert bool(offer.route) == bool(offer.expected_s) == (states == "states"), offer
    assert offer.internal == (origin == "a call"), offer
