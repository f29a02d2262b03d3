"""Check hedges and repeats of requests that are scheduled by cost."""

from behave import given, then, when

from features.support.scheduling import CostHarness
from flamingobank.sidecar.decisions.retry_budget import SAFETY_FACTOR
from flamingobank.sidecar.decisions.retry_state import compute_hedge_reserve
from flamingobank.sidecar.fleet.routes import RouteKind


def create_harness(kind, scripts, retries):
    """Return an entry that may send a number of retries in its window."""
    entry_count = len(scripts) + 1
    return CostHarness(kind, scripts, retries=retries * entry_count / SAFETY_FACTOR)


@given("{count:d} homes that hang, and an entry that may send {retries:f} retries")
def step_hanging(context, count, retries):
    scripts = [["grant", "hang"] for _ in range(count)]
    context.harness = create_harness(RouteKind.SAFE, scripts, retries)
    context.busy_homes = 0


@given("{count:d} home is busy when it is asked for the hedge")
def step_busy(context, count):
    context.busy_homes = count


@when("a safe request is sent to one of them")
def step_send(context):
    harness = context.harness
    harness.run(0.05)
    assert len(harness.commits) == 1, harness.commits
    for _ in range(context.busy_homes):
        before = len(harness.offers)
        for home in harness.homes.values():
            home.script.insert(0, "busy")
        while len(harness.offers) == before and not harness.request.answers:
            harness.loop.advance(0.01, turns=1)
        for home in harness.homes.values():
            if home.script[:1] == ["busy"]:
                home.script.pop(0)
    while not harness.request.answers:
        harness.loop.advance(0.01, turns=1)


@then("{count:d} more homes get it")
def step_hedged(context, count):
    assert len(context.harness.commits) == 1 + count, context.harness.commits


@then("{count:d} more homes get it after at most {most:d} offers")
def step_hedge_offers(context, count, most):
    assert len(context.harness.commits) == 1 + count, context.harness.commits
    assert 1 < len(context.harness.offers) <= 1 + most, len(context.harness.offers)


@then(
    "an entry with a limit of {limit:f} retries hedges only with {reserve:f} of them "
    "left"
)
def step_reserve(context, limit, reserve):
    assert compute_hedge_reserve(limit) == reserve, compute_hedge_reserve(limit)


@given(
    "{count:d} homes whose servers reject requests, and an entry that may send "
    "{retries:f} retries"
)
def step_rejecting(context, count, retries):
    scripts = [["grant", "not-run"] for _ in range(count)]
    context.harness = create_harness(RouteKind.UNSAFE, scripts, retries)


@given("{count:d} homes that refuse repeated runs")
def step_calls_spent(context, count):
    scripts = [["calls-spent"] * 2 for _ in range(count)]
    context.harness = create_harness(RouteKind.UNSAFE, scripts, 30.0)


@when("an unsafe request is served")
def step_serve(context):
    context.harness.run()


@then("it is refused after {count:d} offers")
def step_refused(context, count):
    assert context.harness.final == 503
    assert len(context.harness.offers) == count, len(context.harness.offers)
