"""Stop a sidecar while requests wait, run or arrive."""

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.stopping import GRACE_S, StoppingHarness
from flamingobank.sidecar.fleet.routes import RouteKind

METHODS = {"safe": b"GET", "unsafe": b"POST"}
BUDGET_S = 10.0
HOMES = 3


def _make_harness(kind):
    return StoppingHarness(RouteKind(kind), HOMES, timeout_s=BUDGET_S)


@given("a sidecar whose homes let requests wait")
def step_waiting_homes(context):
    context.offer_reaction, context.work_s, context.slot_after_s = "queue", 0.0, 0.0


@given("a sidecar whose homes send {kind} requests to servers that work for {work:g} s")
def step_working_homes(context, kind, work):
    context.offer_reaction, context.work_s, context.slot_after_s = "grant", work, 0.0


@given(
    "a sidecar whose homes let requests wait for {wait:g} s, and servers that work for "
    "{work:g} s"
)
def step_late_slots(context, wait, work):
    context.offer_reaction, context.work_s, context.slot_after_s = "queue", work, wait


@when("it gets SIGTERM, and {count:d} callers send a {kind} request {after:g} s later")
def step_stop(context, count, kind, after):
    _stop(context, count, kind, BUDGET_S, after)


@when(
    "it gets SIGTERM, and {count:d} callers send a {kind} request with {budget:g} s "
    "of time {after:g} s later"
)
def step_stop_with_budget(context, count, kind, budget, after):
    _stop(context, count, kind, budget, after)


def _stop(context, count, kind, budget_s, after):
    harness = context.harness = _make_harness(kind)
    harness.offer_reaction = context.offer_reaction
    harness.slot_after_s = context.slot_after_s
    harness.choose_work_s = lambda request_id: context.work_s
    if after >= 0:
        harness.stop()
        harness.advance(after)
    for _ in range(count):
        harness.call(METHODS[kind], budget_s)
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


@then("each is answered {status:d} within {seconds:g} s")
def step_answered_soon(context, status, seconds):
    for caller in context.harness.callers:
        assert caller.status == status, (caller.status, caller.peer.ended)
        took_s = caller.answered_at - caller.sent_at
        assert took_s <= seconds, took_s


@then("none of them has been passed on to a server")
def step_not_passed_on(context):
    assert not context.harness.commits


@then("the process ended by itself")
def step_ended(context):
    harness = context.harness
    assert harness.ended_at is not None
    assert harness.ended_at < harness.stopped_at + GRACE_S, harness.ended_at


REQUESTS = st.lists(
    st.tuples(
        # Seconds after the SIGTERM, time budget and work in seconds.
        st.floats(-1.0, 2.2),
        st.floats(0.3, 12.0),
        st.floats(0.01, 10.0),
    ),
    min_size=1,
    max_size=8,
)


@then("in {count:d} random stops each request gets a truthful answer")
def step_random_stops(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(
        st.sampled_from(sorted(METHODS)), st.sampled_from(["grant", "queue"]), REQUESTS
    )
    def check(kind, offer_reaction, requests):
        _check_random_stop(kind, offer_reaction, sorted(requests))

    check()


def _check_random_stop(kind, offer_reaction, requests):
    harness = _make_harness(kind)
    harness.offer_reaction = offer_reaction
    harness.slot_after_s = 0.7
    works = {f"r{number}": work for number, (_, _, work) in enumerate(requests, 1)}
    harness.choose_work_s = works.__getitem__
    time = -1.0
    for after, budget, _ in requests:
        if time < 0 <= after:
            harness.advance(-time)
            harness.stop()
            time = 0.0
        harness.advance(after - time)
        time = after
        harness.call(METHODS[kind], budget)
    if time < 0:
        harness.advance(-time)
        harness.stop()
    harness.advance(GRACE_S + 1)
    assert harness.ended_at < harness.stopped_at + GRACE_S
    sent = {
        commit.request_id for home in harness.homes.values() for commit in home.commits
    }
    for number, caller in enumerate(harness.callers, 1):
        assert caller.status is not None, (caller.sent_at, harness.stopped_at)
        if caller.status == 503:
            assert f"r{number}" not in sent, number
        # Only what was sent before the SIGTERM may still be running at the end.
        cut_off = caller.status == 502 and caller.sent_at >= harness.stopped_at
        assert not cut_off, (number, caller.sent_at, harness.stopped_at)
