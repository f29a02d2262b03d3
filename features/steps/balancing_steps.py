"""Steps that check the choice of homes and servers."""

import random

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies as st

from benchmarks.naive_health import list_allowed_servers
from flamingobank.balancing import (
    HomeCandidate,
    HomeLoad,
    LoadProblem,
    SelectionCriteria,
    ServerSlots,
    SlotProblem,
    check_age,
    choose_home,
    choose_server,
    count_free_slots,
    rank_home,
    read_home_load,
)
from flamingobank.core import Invariant, InvariantError
from flamingobank.health import Stage

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=200)
WORK = SelectionCriteria(idempotent=True)


@then("random load reports give a load or a named problem")
def step_loads(context):
    value = st.one_of(st.floats(), st.integers(), st.none(), st.text(max_size=3))

    @RANDOMISED
    @hypothesis_given(value, value, value)
    def check(delay_s, free, received_at):
        load = read_home_load(delay_s, free, received_at)
        if isinstance(load, LoadProblem):
            return
        assert load.queue_delay_s >= 0.0 and load.free_slots >= 0, load

    check()
    assert isinstance(read_home_load(0.1, 3, 5.0), HomeLoad)
    assert read_home_load(-0.1, 3, 5.0) is LoadProblem.OUT_OF_RANGE
    assert read_home_load(0.1, 1e9, 5.0) is LoadProblem.OUT_OF_RANGE


@then("a home whose load is 2 s old counts as one without load")
def step_stale(context):
    load = HomeLoad(0.0, 4, 10.0)
    silent = HomeCandidate("n", "kl-a", 4)
    stale = HomeCandidate("n", "kl-a", 4, load)
    assert check_age(load, 12.0) is LoadProblem.STALE
    assert check_age(load, 9.0) is LoadProblem.FROM_THE_FUTURE
    assert rank_home(stale, 12.0) == rank_home(silent, 12.0)
    assert rank_home(stale, 11.9) < rank_home(silent, 11.9)


@given("3 homes in the caller's domain and 3 elsewhere")
def step_homes(context):
    context.build = lambda free, delay_s: (
        [
            HomeCandidate(f"kl-{index}", "kl-a", 4, HomeLoad(delay_s, free, 0.0))
            for index in range(3)
        ]
        + [
            HomeCandidate(f"pj-{index}", "pj-a", 4, HomeLoad(0.0, 2, 0.0))
            for index in range(3)
        ]
    )


@then("a local home is chosen while local homes have free slots")
def step_local(context):
    homes = context.build(1, 0.0)
    for seed in range(50):
        chosen = choose_home(homes, "kl-a", random.Random(seed), 1.0)
        assert chosen.failure_domain == "kl-a", chosen


@then("a remote home is chosen once local homes have queues")
def step_remote(context):
    homes = context.build(0, 0.2)
    for seed in range(50):
        chosen = choose_home(homes, "kl-a", random.Random(seed), 1.0)
        assert chosen.failure_domain == "pj-a", chosen
    assert choose_home([], "kl-a", random.Random(1), 1.0) is None


@then("a home of unknown load gets work beside 3 homes that are 3/4 in use")
def step_not_starved(context):
    known = [
        HomeCandidate(f"kl-{index}", "kl-a", 4, HomeLoad(0.0, 1, 0.0))
        for index in range(3)
    ]
    homes = [*known, HomeCandidate("silent", "kl-a", 4)]
    rng = random.Random(2)
    chosen = [choose_home(homes, "kl-a", rng, 1.0).node_id for _ in range(400)]
    assert chosen.count("silent") >= 100, chosen.count("silent")


@then("random slot use keeps every server within its limit")
def step_slots(context):
    action = st.tuples(st.sampled_from(["take", "give", "limit"]), st.floats())

    @RANDOMISED
    @hypothesis_given(st.lists(action, max_size=60))
    def check(actions):
        server = ServerSlots("s", 4, 0.0, warm=1.0)
        for name, value in actions:
            chosen = choose_server([server], WORK, random.Random(1), 100.0)
            if name == "take" and chosen is not None:
                assert server.in_use < server.limit, server.in_use
                server.acquire_slot(100.0)
            elif name == "give" and server.in_use:
                server.release_slot()
            elif name == "limit":
                problem = server.set_slots(value)
                assert problem is None or isinstance(problem, SlotProblem)
            assert 0 <= server.in_use <= server.slots

    check()


@then("random servers give a choice that the reference search allows")
def step_plain_search(context):
    shape = st.tuples(
        st.integers(1, 6), st.integers(0, 6), st.booleans(), st.booleans()
    )

    @RANDOMISED
    @hypothesis_given(st.lists(shape, max_size=8), st.integers(0, 99))
    def check(shapes, seed):
        servers = [_build_server(index, *item) for index, item in enumerate(shapes)]
        chosen = choose_server(servers, WORK, random.Random(seed), 100.0)
        allowed = list_allowed_servers(servers, 100.0)
        assert chosen in allowed if allowed else chosen is None, (chosen, allowed)

    check()


def _build_server(index, slots, in_use, draining, ejected):
    server = ServerSlots(f"s{index}", slots, 0.0, warm=1.0)
    server.in_use = min(in_use, slots)
    server.stage = Stage.EJECTED if ejected else Stage.IN_SERVICE
    if draining:
        server.drain(99.0)
    return server


@given("a balanced server that drains")
def step_drain(context):
    context.server = ServerSlots("s", 4, 0.0, warm=1.0)
    context.server.drain(10.0)


@then('it is never chosen and work sent 3.1 s later breaks "drained"')
def step_drained(context):
    rng = random.Random(1)
    assert choose_server([context.server], WORK, rng, 10.0) is None
    context.server.acquire_slot(12.9)
    try:
        context.server.acquire_slot(13.1)
    except InvariantError as violation:
        assert violation.invariant is Invariant.DRAINED, violation
        return
    raise AssertionError("work reached a drained server")


@given("a cold balanced server with 4 slots")
def step_cold(context):
    context.server = ServerSlots("s", 4, 0.0)


@then("it takes 1 request at once, 2 after 5 s and 4 after 10 s")
def step_ramp(context):
    counts = [context.server.count_usable(now) for now in (-5.0, 0.0, 5.0, 10.0)]
    assert counts == [1, 1, 2, 4], counts


@when("the balanced server sheds work")
def step_shed(context):
    context.server.note_shed(20.0)


@then("it gets no work for 50 ms and work after that")
def step_back_off(context):
    rng = random.Random(1)
    assert choose_server([context.server], WORK, rng, 20.04) is None
    assert choose_server([context.server], WORK, rng, 20.06) == "s"
    assert context.server.stage is Stage.IN_SERVICE


@given("9 balanced servers in service and one in trickle")
def step_trickle(context):
    context.servers = [_build_server(index, 4, 0, False, False) for index in range(10)]
    context.servers[0].stage = Stage.TRICKLE
    context.servers[0].share = 0.1


@then("it gets between 0.5% and 2% of 4000 idempotent requests and no other")
def step_trickled(context):
    rng = random.Random(5)
    chosen = [choose_server(context.servers, WORK, rng, 100.0) for _ in range(4000)]
    assert 20 <= chosen.count("s0") <= 80, chosen.count("s0")
    other = SelectionCriteria(idempotent=False)
    for _ in range(500):
        assert choose_server(context.servers, other, rng, 100.0) != "s0"


@given("a balanced server in doubt beside an idle one")
def step_doubt(context):
    context.servers = [_build_server(index, 4, 0, False, False) for index in range(2)]
    context.servers[0].in_doubt = True
    context.servers[0].in_use = 3


@then("idempotent work goes to the server in doubt and other work does not")
def step_doubt_choice(context):
    other = SelectionCriteria(idempotent=False)
    tried = SelectionCriteria(idempotent=True, tried=frozenset(["s0"]))
    for seed in range(20):
        context.servers[1].in_use = 1
        rng = random.Random(seed)
        assert choose_server(context.servers, WORK, rng, 100.0) == "s0"
        assert choose_server(context.servers, other, rng, 100.0) == "s1"
        assert choose_server(context.servers, tried, rng, 100.0) == "s1"
    assert count_free_slots(context.servers, 100.0) == 4 + 3
