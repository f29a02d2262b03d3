"""Steps for membership over a simulated network in virtual time."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import HealthCheck, given as given_data, settings, strategies as st

from benchmarks.fleet_model import PORT, SECRET, FleetModel
from flamingobank.core import BootId, FailureDomain, NodeId, Revision
from flamingobank.membership import (
    DATAGRAM_BYTES,
    Ack,
    DuplicateAddress,
    DuplicateId,
    Gossip,
    Member,
    MemberJoined,
    MemberRemoved,
    MemberRestarted,
    MemberState,
    MemberUnreachable,
    Ping,
    PingRequest,
    ProcessPaused,
    Rejected,
    RevisionSeen,
    StatePart,
    StateRequest,
    decode_datagram,
    encode_datagram,
)
from flamingobank.membership.records import Records

GONE = (MemberRemoved, MemberUnreachable)
PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def make_member(name: str, **fields) -> Member:
    """Return a live member."""
    return Member(
        NodeId(name),
        BootId(f"boot-{name}"),
        (name, PORT),
        (name, PORT + 1),
        FailureDomain("east-0"),
        "east",
        **fields,
    )


def make_fleet(count: int, seed: int = 1) -> FleetModel:
    """Return a fleet of two regions with two domains each."""
    fleet = FleetModel(seed)
    for index in range(count):
        region = ("east", "west")[index % 2]
        fleet.add(f"node-{index}", f"{region}-{index // 2 % 2}", region)
    for node in fleet.nodes.values():
        fleet.start(node, list_seeds(fleet))
    return fleet


def list_seeds(fleet):
    return [node.address for node in list(fleet.nodes.values())[:2]]


def knows_others(fleet, nodes=None) -> bool:
    """Return whether each running node knows exactly the other running nodes."""
    running = [node for node in nodes or fleet.nodes.values() if node.is_running]
    names = {node.name for node in running}
    for node in running:
        seen = {item.node_id for item in node.membership.members()}
        if seen != names - {node.name}:
            return False
    return True


def list_gone(fleet, kinds=GONE):
    """Return (observer, member) pairs of members that left an observer's table."""
    return {
        (node.name, outcome.member.node_id)
        for node in fleet.nodes.values()
        for _, outcome in node.outcomes
        if isinstance(outcome, kinds)
    }


@given("a model fleet of {count:d} nodes that know each other")
def step_fleet(context, count):
    context.fleet = make_fleet(count)
    context.fleet.run(20)
    assert knows_others(context.fleet)
    for node in context.fleet.nodes.values():
        node.outcomes.clear()
    context.incarnations = {
        node.name: node.membership.local_member.incarnation
        for node in context.fleet.nodes.values()
    }


def run_blocked(context, is_blocked, seconds):
    context.fleet.is_blocked = is_blocked
    context.fleet.run(seconds)
    context.gone = list_gone(context.fleet)
    context.fleet.is_blocked = lambda sender, target: False


@when('node "{name}" of the model fleet is killed for {seconds:d} seconds')
def step_kill(context, name, seconds):
    context.fleet.stop(context.fleet.nodes[name])
    context.fleet.run(seconds)
    context.gone = list_gone(context.fleet)


@when('datagrams from "{first}" to "{second}" are lost for {seconds:d} seconds')
def step_one_way(context, first, second, seconds):
    run_blocked(context, lambda a, b: (a.name, b.name) == (first, second), seconds)
    # Other nodes can still probe the member on behalf of the one whose datagrams are
    # lost, so nobody suspects it and no node has to refute a suspicion.
    for node in context.fleet.nodes.values():
        assert (
            node.membership.local_member.incarnation == context.incarnations[node.name]
        )


@when('datagrams to "{name}" are lost for {seconds:d} seconds')
def step_block_receiving(context, name, seconds):
    run_blocked(context, lambda a, b: b.name == name, seconds)
    # The node that receives nothing may consider the others gone; this is not checked.
    context.gone = {pair for pair in context.gone if pair[0] != name}


@when(
    "every datagram of the model fleet is lost with {share:d} percent "
    "for {seconds:d} seconds"
)
def step_lossy(context, share, seconds):
    context.fleet.loss = share / 100
    run_blocked(context, lambda a, b: False, seconds)


@when('region "{name}" of the model fleet is cut off for {seconds:d} seconds')
def step_cut_region(context, name, seconds):
    run_blocked(context, lambda a, b: (a.region == name) != (b.region == name), seconds)


@when(
    'datagrams to region "{name}" of the model fleet are lost for {seconds:d} seconds'
)
def step_block_region_receiving(context, name, seconds):
    run_blocked(context, lambda a, b: a.region != name == b.region, seconds)


@when('domain "{name}" of the model fleet is cut off for {seconds:d} seconds')
def step_cut_domain(context, name, seconds):
    for node in context.fleet.nodes.values():
        # Removes the seeds, through which the two parts could also reconnect, so that
        # the test shows that they do so without them.
        node.membership._exchange._seeds = ()
    run_blocked(context, lambda a, b: (a.domain == name) != (b.domain == name), seconds)
    assert context.gone, "no member left a table during the partition"


@then('only "{name}" left the tables of the model fleet')
def step_only(context, name):
    others = set(context.fleet.nodes) - {name}
    assert context.gone == {(other, name) for other in others}, context.gone


@then("nobody left the tables of the model fleet")
def step_nobody(context):
    assert not context.gone, context.gone


@then('region "{name}" was unreachable and nobody was removed')
def step_unreachable(context, name):
    nodes = context.fleet.nodes.values()
    expected = {
        (a.name, b.name)
        for a in nodes
        for b in nodes
        if (a.region == name) != (b.region == name)
    }
    assert context.gone == expected, context.gone ^ expected
    assert not list_gone(context.fleet, MemberRemoved)


@then("every node of the model fleet knows the others again within {seconds:d} seconds")
def step_again(context, seconds):
    for _ in range(seconds):
        context.fleet.run(1)
        if knows_others(context.fleet):
            return
    raise AssertionError("the tables still differ")


@when('node "{name}" of the model fleet restarts with no memory')
def step_restart(context, name):
    node = context.fleet.nodes[name]
    context.fleet.stop(node)
    context.fleet.run(0.2)
    context.fleet.start(node, list_seeds(context.fleet))


@then('every other node saw the new boot of "{name}" within {seconds:d} seconds')
def step_new_boot(context, name, seconds):
    context.fleet.run(seconds)
    boot = context.fleet.nodes[name].membership.local_member.boot_id
    for node in context.fleet.nodes.values():
        if node.name == name:
            continue
        kinds = [type(item) for _, item in node.outcomes]
        assert MemberRestarted in kinds or MemberJoined in kinds, kinds
        assert node.membership.find(name).boot_id == boot


@when('node "{name}" of the model fleet is paused for {seconds:d} seconds')
def step_pause(context, name, seconds):
    context.fleet.pause(context.fleet.nodes[name], seconds)
    context.fleet.run(seconds + 5)


@then('"{name}" reported its pause and removed nobody')
def step_paused(context, name):
    outcomes = [item for _, item in context.fleet.nodes[name].outcomes]
    assert any(isinstance(item, ProcessPaused) for item in outcomes), outcomes
    assert not any(isinstance(item, GONE) for item in outcomes), outcomes


@given("a record table in which a member died")
def step_records(context):
    context.records = Records(make_member("own"))
    context.records.merge_record(make_member("other"), 0.0)
    context.dead = make_member("dead", incarnation=5)
    context.records.merge_record(context.dead, 0.0)
    context.records.merge_record(replace(context.dead, state=MemberState.SUSPECT), 0.0)
    context.records.record_ack("east", 1.0)
    context.records.expire(10.0)
    assert context.records.table.get("dead").state is MemberState.DEAD


@when("other nodes repeat its old records for {hours:d} hours")
def step_repeat(context, hours):
    context.records.outcomes.clear()
    for now in range(20, hours * 3600, 20):
        if now < 7000:
            context.records.merge_record(context.dead, float(now))
        context.records.merge_record(
            replace(context.dead, state=MemberState.DEAD), float(now)
        )
        context.records.expire(float(now))


@then("the dead member is forgotten and was never in service again")
def step_forgotten(context):
    assert context.records.table.get("dead") is None
    assert not context.records.outcomes, context.records.outcomes


@when('a second process with the id "{name}" starts in the model fleet')
def step_second(context, name):
    fleet = context.fleet
    context.first = fleet.nodes[name]
    context.second = fleet.add("twin", context.first.domain, context.first.region)
    del fleet.nodes["twin"]
    context.second.name = NodeId(name)
    fleet.start(context.second, list_seeds(fleet))
    fleet.run(60)


@then('both processes reported the duplicate id "{name}" and the second stood down')
def step_duplicate(context, name):
    for node, stands_down in ((context.first, False), (context.second, True)):
        named = [item for _, item in node.outcomes if isinstance(item, DuplicateId)]
        assert [item.node_id for item in named] == [name], named
        assert named[0].stands_down is stands_down, named


@then('every node of the model fleet knows the first process "{name}"')
def step_first(context, name):
    assert knows_others(context.fleet)
    boot = context.first.membership.local_member.boot_id
    for node in context.fleet.nodes.values():
        if node is not context.first:
            assert node.membership.find(name).boot_id == boot


@when("two live members claim one address")
def step_one_address(context):
    context.records.merge_record(make_member("late"), 20.0)
    twin = replace(make_member("twin"), udp=("late", PORT))
    context.records.merge_record(twin, 20.0)


@then("the outcome names both members and both are kept")
def step_shared(context):
    shared = DuplicateAddress(("late", PORT), NodeId("late"), NodeId("twin"))
    assert shared in context.records.outcomes, context.records.outcomes
    live = {item.node_id for item in context.records.table.list_in_service()}
    assert {"late", "twin"} <= live, live


@given("encoded membership datagrams of all types")
def step_messages(context):
    local_member = make_member("own", revision=Revision(7), leaving=True)
    updates = (
        make_member("a", state=MemberState.SUSPECT),
        make_member("b", incarnation=9),
    )
    context.messages = [
        Ping(local_member, 1, 2, NodeId("a"), updates),
        Ack(local_member, 2, 2, NodeId("a"), updates),
        PingRequest(local_member, 3, 2, NodeId("a"), ("a", PORT), updates),
        Gossip(local_member, 4, updates),
        StateRequest(local_member, 5, bytes(256), updates),
        StatePart(local_member, 6, True, updates),
    ]


@then("each one decodes with either secret of a rotation")
def step_rotation(context):
    for message in context.messages:
        for secret in (b"old", b"new"):
            data = encode_datagram(message, secret)
            assert decode_datagram(data, [b"new", b"old"]).ok == message
            assert decode_datagram(data, [b"other"]).error.reason.value == "forged"


@then("each damaged or forged one is rejected with a reason")
def step_damaged(context):
    @PROFILE
    @given_data(st.data())
    def check(data):
        message = data.draw(st.sampled_from(context.messages))
        encoded = bytearray(encode_datagram(message, SECRET))
        position = data.draw(st.integers(0, len(encoded) - 1))
        if data.draw(st.booleans()):
            encoded = encoded[:position]
        else:
            encoded[position] ^= data.draw(st.integers(1, 255))
        result = decode_datagram(bytes(encoded), [SECRET])
        assert isinstance(result.merge(), Rejected), result
        body = data.draw(st.binary(max_size=60))
        hostile = encode_datagram(make_hostile(body), SECRET) if body else b""
        assert decode_datagram(hostile, [SECRET]).is_error()

    check()


def make_hostile(field):
    """Return an authentic message with a field of the wrong type."""
    return Gossip(make_member("own"), field)


@when("every datagram of the model fleet is delivered twice for {seconds:d} seconds")
def step_twice(context, seconds):
    context.fleet.duplication = 1.0
    context.fleet.run(seconds)


@then("replays were counted and no update was used twice")
def step_replays(context):
    for node in context.fleet.nodes.values():
        counts = node.membership.counts
        assert counts["replayed"] > 0 and set(counts) == {"replayed"}, counts
    assert knows_others(context.fleet) and not list_gone(context.fleet)


@given("a record table of {count:d} members at a seed")
def step_large(context, count):
    context.fleet = FleetModel(1)
    seed = context.fleet.add("seed", "east-0", "east")
    context.fleet.start(seed, [])
    for index in range(count - 1):
        seed.membership._records.merge_record(make_member(f"silent-{index}"), 0.0)


@when("a new node joins the seed over a network that loses {share:d} percent")
def step_join(context, share):
    context.fleet.loss = share / 100
    context.new = context.fleet.add("new", "east-1", "east")
    context.fleet.start(context.new, [("seed", PORT)])
    context.known = 0
    for _ in range(30):
        context.fleet.run(0.1)
        context.known = max(context.known, len(context.new.membership.members()))


@then("the new node knows all {count:d} members and no datagram was over 1200 bytes")
def step_joined(context, count):
    assert context.known == count, context.known
    assert context.new.membership.is_joined
    largest = max(node.largest for node in context.fleet.nodes.values())
    assert 1000 < largest <= DATAGRAM_BYTES, largest


@when('node "{name}" of the model fleet drains and then leaves')
def step_drain(context, name):
    fleet = context.fleet
    node = fleet.nodes[name]
    others = [item.membership for item in fleet.nodes.values() if item is not node]
    fleet.send(node, node.membership.drain())
    fleet.run(1)
    context.leaving = [item.find(name).leaving for item in others]
    assert knows_others(fleet), "a draining node must stay in service"
    fleet.send(node, node.membership.leave())
    fleet.run(1)


@then('the others saw "{name}" leaving and then removed it within a second')
def step_drained(context, name):
    assert context.leaving == [True] * 9, context.leaving
    gone = list_gone(context.fleet, MemberRemoved)
    assert gone == {(other, name) for other in context.fleet.nodes if other != name}


@when('all nodes of the model fleet but "{name}" apply revision {revision:d}')
def step_apply(context, name, revision):
    for node in context.fleet.nodes.values():
        if node.name != name:
            node.membership.set_revision(Revision(revision))


@then('a count by "{name}" counts {at:d} of {total:d} nodes at revision {revision:d}')
def step_count_revisions(context, name, at, total, revision):
    node = context.fleet.nodes[name]
    before = node.membership.count_at_revision(Revision(revision))
    context.fleet.send(node, node.membership.request_revisions(Revision(revision)))
    context.fleet.run(0.1)
    after = node.membership.count_at_revision(Revision(revision))
    assert before < after == (at, total), (before, after)
    behind = context.fleet.nodes["node-9"].outcomes
    assert any(isinstance(item, RevisionSeen) for _, item in behind), behind


FAULTS = ("kill", "restart", "pause", "block", "cut", "lossy", "calm", "drain")


@when("model fleets run random faults and then recover")
def step_random(context):
    context.runs = 0

    @settings(PROFILE, max_examples=12)
    @given_data(st.integers(0, 2**32), st.lists(st.sampled_from(FAULTS), max_size=8))
    def check(seed, faults):
        fleet = make_fleet(8, seed)
        fleet.duplication = 0.05
        fleet.max_delay_s = 0.05
        fleet.run(5)
        for fault in faults:
            _inject_fault(fleet, fault)
            fleet.run(fleet.rng.uniform(0.5, 6.0))
        fleet.loss = 0.0
        fleet.is_blocked = lambda sender, target: False
        for node in fleet.nodes.values():
            if not node.is_running:
                fleet.start(node, list_seeds(fleet))
        fleet.run(120)
        assert knows_others(fleet), faults
        _check_records(fleet)
        context.runs += 1

    check()


def _inject_fault(fleet, fault):
    rng = fleet.rng
    node = rng.choice(list(fleet.nodes.values()))
    other = rng.choice(list(fleet.nodes.values()))
    if fault == "kill":
        fleet.stop(node)
    elif fault == "restart":
        fleet.stop(node)
        fleet.start(node, list_seeds(fleet))
    elif fault == "pause" and node.is_running:
        fleet.pause(node, rng.uniform(0.1, 20.0))
    elif fault == "block":
        fleet.is_blocked = lambda sender, target: (sender, target) == (node, other)
    elif fault == "cut":
        fleet.is_blocked = lambda sender, target: sender.region != target.region
    elif fault == "lossy":
        fleet.loss = rng.uniform(0.0, 0.3)
    elif fault == "drain" and node.is_running and not node.is_paused:
        fleet.send(node, node.membership.leave())
        fleet.stop(node)
    elif fault == "calm":
        fleet.loss = 0.0
        fleet.is_blocked = lambda sender, target: False


def _check_records(fleet):
    for node in fleet.nodes.values():
        assert node.largest <= DATAGRAM_BYTES, node.largest
        for other in fleet.nodes.values():
            if node is other:
                continue
            known = node.membership.find(other.name)
            local_member = other.membership.local_member
            assert known.state is MemberState.ALIVE, known
            assert (known.boot_id, known.incarnation) == (
                local_member.boot_id,
                local_member.incarnation,
            )


@then("every model fleet converged with unique records")
def step_converged(context):
    assert context.runs >= 12, context.runs
