"""Check when refused callers return."""

import random
from dataclasses import replace

from behave import given, then, when

from features.steps.balance_steps import NOW, REPORT
from features.support.scheduling import CostHarness
from flamingobank.sidecar.decisions.return_times import ReturnTimes
from flamingobank.sidecar.fleet.routes import RouteKind


@given("a service that answers {rate:d} requests a second and has room in {room:f} s")
def step_service(context, rate, room):
    context.room_in_s = room
    context.returns = ReturnTimes()
    for step in range(20 * rate):
        context.returns.answers.note(NOW - 20 + step / rate)


def choose_delays(context, callers):
    """Return the delays of callers that are refused together."""
    rng = random.Random(1)
    return [
        context.returns.choose_delay_s(context.room_in_s, urgent, remaining_s, NOW, rng)
        for urgent, remaining_s in callers
    ]


@when("{count:d} callers with {left:d} s left are refused at once")
def step_refuse_together(context, count, left):
    context.delays = choose_delays(context, [(False, left)] * count)


@then("none returns before {limit:f} s")
def step_not_before(context, limit):
    assert min(context.delays) >= limit, context.delays


@then("at most {most:d} of them return in any second")
def step_fit(context, most):
    for start in context.delays:
        together = [delay for delay in context.delays if start <= delay < start + 1]
        assert len(together) <= most, sorted(context.delays)


@when("callers with 0.05 to 10 s left are refused")
def step_refuse_each(context):
    context.callers = [(False, 0.05 + 0.199 * step) for step in range(51)]
    context.delays = choose_delays(context, context.callers)


@then("each returns after at least 0.1 s and at most a third of the time it has left")
def step_bounds(context):
    for (_, remaining_s), delay_s in zip(context.callers, context.delays, strict=True):
        if remaining_s < 0.3:
            assert delay_s <= max(0.1, remaining_s), (remaining_s, delay_s)
            continue
        assert 0.1 <= delay_s <= remaining_s / 3 + 0.005, (remaining_s, delay_s)


@when("{count:d} callers of both urgencies with {left:d} s left are refused in turn")
def step_refuse_in_turn(context, count, left):
    context.callers = [(step % 2 == 0, left) for step in range(count)]
    context.delays = choose_delays(context, context.callers)


@then("urgent ones return earlier on average")
def step_urgent_earlier(context):
    assert sum(context.delays[::2]) < 0.8 * sum(context.delays[1::2]), context.delays


@given(
    "{count:d} homes that state a backlog of {backlog:d} s and refuse every offer, "
    "scheduled by {way}"
)
def step_refusing(context, count, backlog, way):
    scripts = [["busy"] * 9 for _ in range(count)]
    context.harness = CostHarness(RouteKind.UNSAFE, scripts, by_cost=way == "cost")
    for home in context.harness.homes.values():
        home.report = replace(REPORT, running=4, waiting=9, backlog_s=float(backlog))


@when("a request is refused")
def step_refused(context):
    context.harness.change_route(timeout_s=20.0)
    assert context.harness.serve(RouteKind.UNSAFE, 20_000) == 503


@then("its Retry-After is between {least:f} and {most:f} s")
def step_retry_after(context, least, most):
    headers = context.harness.request.answers[0][1]
    assert least <= float(headers[b"retry-after"]) <= most, headers
