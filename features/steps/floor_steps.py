"""Check that floor leases keep the floor under faults and still allow ejections."""

import random
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies as st

from benchmarks.floor_network import SERVICE, FloorFleet
from flamingobank.core import InstanceId
from flamingobank.health import (
    EjectionState,
    FloorDenial,
    FloorGrant,
    FloorLedger,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
)
from flamingobank.objects import Floor, FloorUnit

WARM_UP_S = 8.0
STEP_S = 0.05


@then("the floor holds in {runs:d} random floor runs with every network fault")
def step_random_runs(context, runs):
    most = []

    @settings(derandomize=True, database=None, deadline=None, max_examples=runs)
    @hypothesis_given(st.integers(3, 8), st.integers(3, 18), st.integers(0, 2**32))
    def check(homes, servers, seed):
        rng = random.Random(seed)
        count = rng.randint(1, servers - 1)
        fleet = FloorFleet(homes, servers, Floor(FloorUnit.SERVERS, count), rng)
        _set_faults(fleet)
        most.append(_run_with_faults(fleet, servers - count))

    check()
    # A run without ejections does not test the floor, so most runs must have some.
    assert sum(peak > 0 for peak in most) > runs / 2, most


def _set_faults(fleet):
    rng = fleet.rng
    fleet.faults.loss = rng.choice([0.0, 0.05, 0.3])
    fleet.faults.duplicates = rng.choice([0.0, 0.2])
    fleet.faults.delay_max_s = rng.choice([0.002, 0.2, 3.0])


def _run_with_faults(fleet, allowed):
    peak = 0
    fleet.events.run_until(WARM_UP_S)
    for step in range(1, 801):
        if fleet.rng.random() < 0.4:
            _inject_fault(fleet)
        fleet.events.run_until(WARM_UP_S + step * STEP_S)
        ejected = len(fleet.list_ejected())
        assert ejected <= allowed, (ejected, allowed, fleet.events.clock.now())
        # A server whose lease covers an ejection must stay in service. If it is ejected
        # too, the leases are wrong even while the floor still holds.
        uncovered = fleet.list_uncovered()
        assert not uncovered, (uncovered, fleet.events.clock.now())
        peak = max(peak, ejected)
    return peak


def _inject_fault(fleet):
    rng = fleet.rng
    instance = rng.choice(list(fleet.home_of))
    home = rng.choice(list(fleet.homes.values()))
    other = rng.choice(list(fleet.homes.values()))
    action = rng.random()
    if action < 0.5:
        fleet.request_ejection(instance, rng.uniform(18.0, 60.0))
    elif action < 0.6:
        fleet.cancel(instance)
    elif action < 0.7:
        fleet.faults.blocked.add((home.node_id, other.node_id))
    elif action < 0.8:
        fleet.faults.blocked.clear()
    elif action < 0.88 and not home.paused:
        home.paused = True
        resume_s = rng.choice([0.3, 1.0, 2.0, 4.0, 8.0])
        fleet.events.call_after(resume_s, home.resume)
    elif action < 0.91:
        home.restart()
    elif action < 0.96:
        fleet.move(instance, other.node_id)
    else:
        fleet.set_in_service(instance, rng.random() < 0.7)


@given(
    "a floor fleet of {homes:d} homes and {servers:d} servers with a floor of {floor:d}"
)
def step_fleet(context, homes, servers, floor):
    context.fleet = FloorFleet(
        homes, servers, Floor(FloorUnit.SERVERS, floor), random.Random(3)
    )
    context.fleet.events.run_until(WARM_UP_S)


@when("{count:d} servers request a floor ejection")
def step_request(context, count):
    context.wanted = list(context.fleet.home_of)[:count]
    for index, instance in enumerate(context.wanted):
        context.fleet.request_ejection(instance, 20.0 + index)


@when("a server that stayed in service crashes")
def step_crash(context):
    fleet = context.fleet
    fleet.events.run_until(WARM_UP_S + 5.0)
    assert fleet.list_ejected() == context.wanted, fleet.list_ejected()
    fleet.set_in_service(list(fleet.home_of)[-1], False)


@then("the {count:d} worst of them are ejected within 10 s")
def step_worst(context, count):
    fleet = context.fleet
    fleet.events.run_until(fleet.events.clock.now() + 10.0)
    ejected = [name for name in fleet.home_of if _is_ejected(fleet, name)]
    assert ejected == context.wanted[-count:], ejected


def _is_ejected(fleet, instance):
    home = fleet.homes[fleet.home_of[instance]]
    return home.ledger.is_ejected(instance, home.now())


@then("no floor request is sent and the decision says that the floor is full")
def step_full(context):
    fleet = context.fleet
    for instance in context.wanted:
        home = fleet.homes[fleet.home_of[instance]]
        now = home.now()
        assert not home.ledger.request_leases(SERVICE, instance, 30.0, now)
        decision = home.ledger.decide(instance, now)
        assert decision.state is EjectionState.FLOOR_FULL, decision


@then("a delayed floor release leaves the newer promise in force")
def step_delayed_release(context):
    fleet = context.fleet
    first, second, _ = list(fleet.home_of)
    home = fleet.homes[fleet.home_of[second]]
    holder = fleet.home_of[first]
    old = FloorRequest(SERVICE, first, second, holder, 1, 4, 30.0, home.node_id)
    new = replace(old, number=9)
    now = home.now()
    for request in (old, new):
        assert isinstance(home.ledger.answer(request, now), FloorGrant), request
    local = home.ledger.decide(second, now)
    assert local.state is EjectionState.NONE, local
    home.ledger.release(
        FloorRelease(SERVICE, first, second, holder, 1, 4, home.node_id), now
    )
    assert home.ledger.is_promised(second, now), "the newer promise was ended"
    home.ledger.release(
        FloorRelease(SERVICE, first, second, holder, 1, 9, home.node_id), now
    )
    assert not home.ledger.is_promised(second, now), (
        "the promise was not ended by its release"
    )


def _ask_first_home(fleet, epoch):
    """Request leases for the first server with a new ledger of its home's process.

    Returns the ledger, the server, the home's time and the two grants, which have not
    been passed to the ledger.
    """
    first = next(iter(fleet.home_of))
    home = fleet.homes[fleet.home_of[first]]
    ledger = FloorLedger(home.node_id, epoch, home.now())
    ledger.set_service(SERVICE, fleet.floor, dict(fleet.home_of))
    ledger.announce(SERVICE, first, home.now())
    grants = []
    for request in ledger.request_leases(SERVICE, first, 30.0, home.now()):
        other = fleet.homes[request.destination]
        grants.append(other.ledger.answer(request, other.now()))
    assert len(grants) == 2, grants
    assert all(isinstance(grant, FloorGrant) for grant in grants), grants
    return ledger, first, home.now(), grants


@then("a floor grant to an earlier process adds no lease")
def step_old_process(context):
    _, first, now, old_grants = _ask_first_home(context.fleet, epoch=7)
    ledger, _, _, _ = _ask_first_home(context.fleet, epoch=8)
    for grant in old_grants:
        ledger.accept(grant, now)
    assert not ledger.list_covering_servers(first, now), ledger.list_covering_servers(
        first, now
    )


@then("a floor grant that arrives after its release adds no lease")
def step_late_grant(context):
    ledger, first, now, early = _ask_first_home(context.fleet, epoch=9)
    # The home repeats its requests before the grants of the first ones arrive.
    ledger.tick(now + 0.6)
    target = early[0].request.target
    ledger.revoke(
        FloorRevocation(SERVICE, first, target, early[0].destination), now + 0.7
    )
    ledger.accept(early[0], now + 0.8)
    assert target not in ledger.list_covering_servers(first, now + 0.8), target
    ledger.accept(early[1], now + 0.8)
    assert ledger.list_covering_servers(first, now + 0.8) == [early[1].request.target]


@when("its home is paused for {seconds:d} s")
def step_pause(context, seconds):
    fleet = context.fleet
    fleet.events.run_until(fleet.events.clock.now() + 1.0)
    context.instance = context.wanted[0]
    assert _is_ejected(fleet, context.instance)
    context.home = fleet.homes[fleet.home_of[context.instance]]
    context.home.paused = True
    fleet.events.run_until(fleet.events.clock.now() + seconds)


@then("its ejection has ended and it grants no floor lease")
def step_after_pause(context):
    home = context.home
    assert not _is_ejected(context.fleet, context.instance)
    other = InstanceId("server-16")
    request = FloorRequest(
        SERVICE, other, context.instance, home.node_id, 1, 1, 99.0, home.node_id
    )
    assert isinstance(home.ledger.answer(request, home.now()), FloorDenial)
    context.request = request


@then("an announcement that was queued during the pause changes nothing")
def step_queued_announcement(context):
    home = context.home
    home.ledger.announce(SERVICE, context.instance, home.now())
    answer = home.ledger.answer(context.request, home.now())
    assert isinstance(answer, FloorDenial), answer
    later = home.now() + 1.1
    home.ledger.announce(SERVICE, context.instance, later)
    answer = home.ledger.answer(context.request, later)
    assert isinstance(answer, FloorGrant), answer
