"""Test the order and the refusals of a home under scarcity."""

import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.support.scheduled_home import SLOTS, STEP_S, ScheduledHome
from flamingobank.sidecar.homes.requests import HomeRequestState
from flamingobank.sidecar.links.messages import Answer, Refused

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
SWEEP_S = 0.2
# Objective and timeout of urgent and of less urgent requests.
LIMITS = {0: (1.0, 2.2), 2: (4.5, 6.4)}


@given("a home with the work {first} {first_s:f} s and {second} {second_s:f} s")
def step_home_of_two(context, first, first_s, second, second_s):
    context.home = ScheduledHome({first: first_s, second: second_s})


@given("a home with the work {route} {work_s:f} s")
def step_home(context, route, work_s):
    context.home = ScheduledHome({route.strip('"'): work_s})


@given("its work is known")
def step_known(context):
    for route in context.home.client.work_s:
        context.home.offer(route)
        context.home.advance(1.0)


@when(
    "{first_rate:d} {first} a second of priority 0 and {second_rate:d} {second} a "
    "second of priority 2 arrive for {seconds:d} s"
)
def step_compete(context, first_rate, first, second_rate, second, seconds):
    rates = {first: (first_rate, 0, LIMITS[0]), second: (second_rate, 2, LIMITS[2])}
    context.home.press(rates, seconds)
    context.home.advance(5.0)


@then("at least {share:f} of {route} are on time")
def step_on_time(context, share, route):
    on_time = context.home.measure_on_time(lambda offer: offer.route == route)
    assert on_time >= share, on_time


@then("less urgent work gets a slot before waiting urgent work in 1 of 20 starts")
def step_inversions(context):
    _check_inversions(context.home)


def _check_inversions(home):
    starts = len(home.granted_at)
    assert len(home.inversions) <= starts / 20, (home.inversions, starts)


@then("from {least:f} to {most:f} of the starts are {route}")
def step_share(context, least, most, route):
    routes = [context.home.offers[stream].route for stream in context.home.granted_at]
    share = routes.count(route) / len(routes)
    assert least <= share <= most, share


@then("the refused have at least {least:f} of their time left, on average {mean:f}")
def step_refused_early(context, least, mean):
    home = context.home
    left = [
        1 - home.measure_took(stream) / home.offers[stream].remaining_s
        for stream in home.list_ended(Refused)
    ]
    assert min(left) >= least, min(left)
    assert sum(left) / len(left) >= mean, sum(left) / len(left)


@then("no refused request has run, though some have waited")
def step_refused_truly(context):
    home = context.home
    ran = {int(request_id.split("/")[1]) for request_id in home.client.started}
    refused = set(home.list_ended(Refused))
    assert refused & home.queued
    assert not refused & ran


@when("a burst of {count:d} {route} of priority 2 arrives")
def step_burst(context, count, route):
    expected_s = context.home.client.work_s[route]
    for _ in range(count):
        context.home.offer(route, 2, *LIMITS[2], expected_s=expected_s)


@when("{seconds:f} s pass")
def step_pass(context, seconds):
    context.home.advance(seconds)


@when("requests that were expected to take {expected_s:f} s take all slots")
def step_take_all(context, expected_s):
    route = next(iter(context.home.client.work_s))
    for _ in range(SLOTS):
        context.home.offer(route, expected_s=expected_s)


@when("a request of {route} that was expected to take {expected_s:f} s waits")
def step_one_waits(context, route, expected_s):
    stream = context.home.offer(route, expected_s=expected_s)
    assert stream in context.home.queued


@then("refusals of priority 2 are counted as {reason}")
def step_counted(context, reason):
    labels = f'scheduled_refusals_total{{node="home",priority="2",reason="{reason}"'
    assert labels in context.home.metrics.render().decode()


@when("a long and then {count:d} short of one priority arrive")
def step_long_then_short(context, count):
    home = context.home
    fields = {"workspace": "w"}
    context.long = home.offer("long", 1, 2.0, 4.0, **fields)
    assert context.long in home.queued
    context.short = [home.offer("short", 1, 2.0, 4.0, **fields) for _ in range(count)]
    home.advance(4.0)


@then("the long is refused and all short are granted")
def step_long_refused(context):
    home = context.home
    assert context.long in home.list_ended(Refused)
    assert set(context.short) <= set(home.granted_at)


@when(
    "workspace big sends {rate:d} a second and {count:d} small ones send 1 a second "
    "each for {seconds:d} s"
)
def step_flood(context, rate, count, seconds):
    home, source = context.home, random.Random(3)
    senders = {"big": rate, **{f"small-{number}": 1 for number in range(count)}}
    for _ in range(round(seconds / STEP_S)):
        for name, sent_per_s in senders.items():
            if source.random() < sent_per_s * STEP_S:
                home.offer("payment-post", 101, workspace=name, expected_s=0.4)
        home.advance(STEP_S)
    home.advance(5.0)


@then("{share:f} or more of the small ones' requests are on time")
def step_small_on_time(context, share):
    on_time = context.home.measure_on_time(lambda offer: offer.workspace != "big")
    assert on_time >= share, on_time


@then("big gets at least {share:f} of the starts")
def step_big_share(context, share):
    home = context.home
    big = [home.offers[stream].workspace == "big" for stream in home.granted_at]
    assert sum(big) >= share * len(big), sum(big)


@when("{count:d} lookup and then 1 internal verify of one priority arrive")
def step_internal(context, count):
    home = context.home
    lookups = [home.offer("lookup", 1, 2.0) for _ in range(count)]
    context.later = lookups[0]
    context.first = home.offer("verify", 1, 2.0, internal=True)
    home.advance(2.0)


@when("a request past its objective and then one within it arrive")
def step_late_then_timely(context):
    home = context.home
    context.later = home.offer("lookup", 1, -0.1, 1.9)
    context.first = home.offer("lookup", 1, 2.0)
    home.advance(3.0)


@then("the second is granted first and the first is answered, too")
def step_second_first(context):
    granted = list(context.home.granted_at)
    assert granted.index(context.first) < granted.index(context.later)
    assert context.later in context.home.list_ended(Answer)


@then("its report has the defaults of the optional fields")
def step_defaults(context):
    report = context.home.home.build_report()
    optional = (report.limit, report.backlog_s, report.pace, report.shedding)
    assert optional == (0, 0.0, 1.0, 0.0)


OFFERS = st.tuples(
    st.sampled_from(["a", "b", "c"]),
    st.integers(0, 3),
    st.floats(-0.5, 2.0),
    st.floats(0.1, 3.0),
    st.fixed_dictionaries(
        {
            "workspace": st.sampled_from(["", "w1", "w2"]),
            "idempotent": st.booleans(),
            "forced": st.booleans(),
            "internal": st.booleans(),
            "expected_s": st.sampled_from([0.0, 0.2]),
        }
    ),
    st.sampled_from([0.0, 0.0, 0.02, 0.1, 0.5]),
)


@when("random offers of random routes, priorities and deadlines arrive")
def step_random(context):
    @RANDOMISED
    @for_all(st.lists(OFFERS, min_size=5, max_size=80), st.integers(1, SLOTS))
    def run(offers, takes):
        home = ScheduledHome({"a": 0.1, "b": 0.3, "c": 0.9})
        home.client.takes = takes
        for *offer, fields, gap_s in offers:
            home.offer(*offer, **fields)
            home.advance(gap_s)
            _check_requests(home)
        home.advance(6.0)
        assert set(home.ended) == set(home.offers)
        _check_inversions(home)

    context.check = run


def _check_requests(home):
    now, in_use = home.loop.clock.now(), 0
    for request in home.home.requests.values():
        if request.state is HomeRequestState.WAITING:
            assert now <= request.deadline + SWEEP_S, request.offer
        elif request.state is not HomeRequestState.DONE:
            in_use += 1
    assert in_use <= SLOTS


@then(
    "no more run than the slots, none waits past its deadline and urgent ones go first"
)
def step_random_kept(context):
    context.check()
