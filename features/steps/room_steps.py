"""Test the concurrency limit of a home and what its reports state."""

import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.support.scheduled_home import ScheduledHome
from flamingobank.balancing.concurrency import ConcurrencyLimit

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=200)
ROUND_S = 0.5


@when("random answers, rejections and loads are noted")
def step_random_notes(context):
    @RANDOMISED
    @for_all(
        st.integers(1, 9),
        st.lists(
            st.tuples(
                st.sampled_from(["answer", "rejection", "load"]),
                st.integers(1, 12),
                st.integers(0, 12),
                st.floats(0.0, 1.0),
            ),
            max_size=80,
        ),
    )
    def run(slots, notes):
        limit, now = ConcurrencyLimit(slots), 0.0
        for kind, in_use, stated, gap_s in notes:
            now += gap_s
            if kind == "answer":
                limit.note_answered(in_use, in_use, now)
            elif kind == "rejection":
                limit.note_rejected(now, in_use, ROUND_S, now)
            else:
                limit.note_load(stated, stated % 3, in_use, now, ROUND_S, now)
            assert 1 <= limit.value <= slots, (limit.value, slots)
            assert 0.0 <= limit.measure_shedding(now) <= 1.0
        limit.note_load(0, 0, 1, now, ROUND_S, now)
        for _ in range(slots * slots):
            limit.note_answered(slots, slots, now)
        assert limit.value == slots

    context.check = run


@then("the limit stays between 1 and the slots and returns to them with answers")
def step_bounded(context):
    context.check()


@given("a scheduled home with the work {route} {work_s:f} s")
def step_scheduled_home(context, route, work_s):
    context.home = ScheduledHome({route: work_s})


def _press(context, rate, route, seconds, **fields):
    context.seconds = seconds
    context.home.press({route: (rate, 1, (1.0, 3.0))}, seconds, **fields)


@when(
    "{rate:d} {route} a second arrive for {seconds:d} s while the server rejects "
    "{number:d} in 10"
)
def step_reject(context, rate, route, seconds, number):
    source = random.Random(7)
    context.home.client.rejects = lambda: source.random() < number / 10
    _press(context, rate, route, seconds)


@when(
    "{rate:d} {route} a second arrive for {seconds:d} s while the server takes "
    "{takes:d} at once"
)
def step_take_less(context, rate, route, seconds, takes):
    context.home.client.takes = takes
    _press(context, rate, route, seconds)


@when(
    "a server that is warm in {warmup:d} s is announced and {rate:d} {route} a second "
    "arrive for {s:f} s"
)
def step_new_server(context, warmup, rate, route, s):
    context.home.announce_as("i-2", float(warmup))
    context.home.home.on_new_instance()
    _press(context, rate, route, s)


@when(
    "the server states {number:d} more running than it was sent, and {rate:d} {route} "
    "a second arrive for {seconds:d} s"
)
def step_hidden(context, number, rate, route, seconds):
    context.home.client.hidden = number
    _press(context, rate, route, seconds)


@when("{count:d} {route} arrive that were expected to take {expected_s:f} s")
def step_expected(context, count, route, expected_s):
    for _ in range(count):
        context.home.offer(route, expected_s=expected_s)


@when(
    "{rate:d} {route} a second arrive for {seconds:d} s that were expected to take "
    "{expected_s:f} s"
)
def step_press_expected(context, rate, route, seconds, expected_s):
    _press(context, rate, route, seconds, expected_s=expected_s)


def _report(context):
    return context.home.home.build_report()


@then("it reports shedding from {least:f} to {most:f} and still accepts work")
def step_shedding(context, least, most):
    report = _report(context)
    assert least <= report.shedding <= most, report
    assert report.accepting, report
    assert report.failing < 0.2, report


@then("no request was sent to the server twice")
def step_sent_once(context):
    client = context.home.client
    assert client.rejected > 0
    assert len(client.started) + client.rejected == len(context.home.granted_at)
    assert len(set(client.started)) == len(client.started)


@then("it reports a limit of {number:d}")
def step_limit(context, number):
    assert _report(context).limit == number, _report(context)


@then("at most {share:f} of what was sent was rejected")
def step_few_rejected(context, share):
    client = context.home.client
    sent = len(client.started) + client.rejected
    assert client.rejected <= share * sent, (client.rejected, sent)


@then("the server ran at least {share:f} of what {slots:d} slots can")
def step_used(context, share, slots):
    possible = slots * context.seconds / ROUND_S
    assert len(context.home.client.started) >= share * possible


@then("at most {count:d} requests were sent to the server")
def step_few_sent(context, count):
    client = context.home.client
    assert 0 < len(client.started) + client.rejected <= count, client.rejected


@then("{count:d} run at the server")
def step_running(context, count):
    assert context.home.client.running == count, context.home.client.running


@then("the stated wait is from {least:f} to {most:f} s")
def step_wait(context, least, most):
    assert least <= _report(context).backlog_s <= most, _report(context)


@then("the stated pace is from {least:f} to {most:f}")
def step_pace(context, least, most):
    assert least <= _report(context).pace <= most, _report(context)
