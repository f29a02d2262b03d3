"""Stop a sidecar while requests wait, run or arrive."""

from behave import given, then, when

from features.support.stopping import GRACE_S, StoppingHarness
from flamingobank.sidecar.fleet.routes import RouteKind

METHODS = {"safe": b"GET", "unsafe": b"POST"}
BUDGET_S = 10.0
HOMES = 3
# More reactions than requests in any scenario.
REACTIONS = 20


def _make_harness(kind, script):
    return StoppingHarness(
        RouteKind(kind), [script * REACTIONS] * HOMES, timeout_s=BUDGET_S
    )


@given("a sidecar whose homes let requests wait")
def step_waiting_homes(context):
    context.script = ["queue"]


@given("a sidecar whose homes send {kind} requests to servers that work for 9 s")
def step_working_homes(context, kind):
    context.script = ["grant", "hang"]


@when("it gets SIGTERM, and {count:d} callers send a {kind} request {after:g} s later")
def step_stop(context, count, kind, after):
    harness = context.harness = _make_harness(kind, context.script)
    if after >= 0:
        harness.stop()
        harness.advance(after)
    for _ in range(count):
        harness.call(METHODS[kind], BUDGET_S)
    if after < 0:
        harness.advance(-after)
        harness.stop()
    harness.advance(GRACE_S + 1)


@then(
    "each is answered {status:d} before the process ends, within {grace:g} s of the "
    "SIGTERM"
)
def step_answered(context, status, grace):
    harness = context.harness
    for caller in harness.callers:
        assert caller.status == status, (caller.status, caller.peer.ended)
        assert caller.answered_at <= harness.stopped_at + grace, caller.answered_at


@then("the process ended by itself")
def step_ended(context):
    harness = context.harness
    assert harness.ended_at is not None
    assert harness.ended_at < harness.stopped_at + GRACE_S, harness.ended_at
