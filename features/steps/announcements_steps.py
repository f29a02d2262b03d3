"""Announce servers to a node without sockets, and apply directory updates."""

import json

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.loop import TestLoop
from flamingobank.core import VirtualClock
from flamingobank.directory import DirectoryTable
from flamingobank.node.servers.announcements import ANNOUNCE_PATH, AnnouncementHandler
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.ejections import EjectionController
from flamingobank.objects import Service, parse_selector
from flamingobank.wire import DirectoryUpdate

ADDRESS = ("127.0.0.1", 9)
ANNOUNCEMENT = {
    "instance": "s1",
    "boot": "b1",
    "address": "127.0.0.1:7001",
    "labels": {"app": "orders"},
    "slots": 4,
    "failure_domain": "graz-a",
    "in_use": 0,
    "draining": False,
    "warm": 1.0,
}


class AnnouncementHarness:
    """The announcement handler of one node on a virtual clock."""

    def __init__(self):
        self.loop = TestLoop(VirtualClock(10.0))
        clock, timers = self.loop.clock, self.loop.timers
        service = Service("orders", parse_selector("app=orders").ok)
        self.dispatcher = Dispatcher(self.loop.poller, timers, clock, None)
        self.dispatcher.list_services = lambda: [service]
        self.nodes = {"here": ADDRESS}
        self.ejections = EjectionController(
            "here",
            1,
            clock,
            timers,
            self.dispatcher,
            lambda node, message: None,
            lambda name: dict.fromkeys(self.dispatcher.servers, "here"),
            lambda: None,
        )
        self.announcements = AnnouncementHandler(
            "here",
            clock,
            timers,
            self.dispatcher,
            self.ejections,
            lambda domain: self.nodes,
            lambda: None,
        )

    @property
    def server(self):
        """Return the server s1, or None if the node does not know it."""
        return self.dispatcher.servers.get("s1")

    def announce(self, content=None, **fields):
        """Send an announcement to the handler; return the status and the answer."""
        if content is None:
            content = json.dumps(ANNOUNCEMENT | fields)
        request = type("Call", (), {"path": ANNOUNCE_PATH, "method": "POST"})()
        request.content = content.encode()
        response = type("Answer", (), {"headers": {}})()
        response = self.announcements._on_request(None, request, response)
        return response.status, json.loads(response.body)


@when("a server announces {field} as {value}")
def step_announce(context, field, value):
    context.harness = AnnouncementHarness()
    if field == "body":
        content = "[" * 60_000 if value == "nested" else value
    else:
        text = json.dumps("x" * 300) if value == "long" else value
        content = json.dumps(ANNOUNCEMENT | {field: 0}).replace(
            f'"{field}": 0', f'"{field}": {text}'
        )
    context.answer = context.harness.announce(content)


@then('the announcement is refused for "{named}" and no server is known')
def step_refused(context, named):
    status, answer = context.answer
    assert status == 400, context.answer
    assert f"field {named}:" in answer["error"], answer
    assert not context.harness.dispatcher.servers


@then("the server is known with 4 slots, none in use and full warmth")
def step_known(context):
    assert context.answer[0] == 200, context.answer
    slots = context.harness.server.slots
    assert (slots.limit, slots.in_use, slots.warm) == (4, 0, 1.0), slots


@given("an announced server")
def step_given_server(context):
    context.harness = AnnouncementHarness()
    status, answer = context.harness.announce()
    assert status == 200 and answer == {"renew_ms": 1000, "home": "here"}, answer


@when("another node becomes its rendezvous home and the server renews")
def step_move(context):
    context.harness.nodes = {"there": ("127.0.0.1", 8)}
    context.answer = context.harness.announce()


@then("it is redirected to that node and not known here")
def step_redirected(context):
    expected = (307, {"home": "there", "address": "127.0.0.1:8"})
    assert context.answer == expected, context.answer
    assert context.harness.server is None


@then("a final announcement is accepted nevertheless")
def step_final(context):
    assert context.harness.announce(final=True)[0] == 200
    assert context.harness.server is not None


@then("it is known {known:g} seconds after its announcement and gone after {gone:g}")
def step_expiry(context, known, gone):
    context.harness.loop.advance(known)
    assert context.harness.server is not None
    context.harness.loop.advance(gone - known)
    assert context.harness.server is None


@when("it announces another boot id while 2 slots are in use")
def step_boot(context):
    context.old = context.harness.server
    for _ in range(2):
        context.old.slots.acquire_slot(context.harness.loop.clock.now())
    context.harness.announce(boot="b2")


@then("the server of the new boot has no slot in use")
def step_new_boot(context):
    server = context.harness.server
    assert server is not context.old and server.boot == "b2"
    assert server.slots.in_use == 0 and context.old.slots.in_use == 2


@when("it announces a drain")
def step_drain(context):
    context.harness.announce(draining=True)


@when("it announces the end of the drain")
def step_stay(context):
    context.harness.announce(draining=False)


@then("it has {count:d} usable slots and {counted} in service for floor leases")
def step_usable(context, count, counted):
    harness = context.harness
    assert harness.server.count_usable(harness.loop.clock.now()) == count
    local = harness.ejections.ledger._promises.find("s1")
    assert local.in_service == (counted == "is"), counted


def make_update(home, boot, sequence, leaving):
    services = [[f"svc-{sequence % 3}", 1, sequence, [f"{home}-{boot}"]]]
    return DirectoryUpdate(
        home, boot, sequence, "127.0.0.1", 1, "d", "r", leaving, services, "h", 2
    )


def list_homes_by_service(table):
    names = (f"svc-{index}" for index in range(3))
    return {
        name: {home.node: (home.slots, home.instances) for home in homes}
        for name in names
        if (homes := table.list_homes(name))
    }


@then("{runs:d} random update sequences give the homes of the newest updates")
def step_histories(context, runs):
    update = st.builds(
        make_update,
        st.sampled_from("abc"),
        st.sampled_from("12"),
        st.integers(1, 6),
        st.just(False),
    )
    plan = st.lists(update, min_size=1, max_size=12).flatmap(
        lambda updates: st.tuples(
            st.just(updates), st.permutations(updates + updates[::2])
        )
    )

    @settings(max_examples=runs, derandomize=True, database=None, deadline=None)
    @given_data(plan, st.sampled_from("abcd"))
    def run(plan, leaving):
        updates, shuffled = plan
        for one in [*updates, *shuffled]:
            one.leaving = one.home == leaving and one.sequence > 3
        newest = {}
        for one in updates:
            known = newest.get(one.home)
            if not known or (one.boot, one.sequence) > (known.boot, known.sequence):
                newest[one.home] = one
        expected = {}
        for home, one in newest.items():
            for name, _, slots, instances in [] if one.leaving else one.services:
                expected.setdefault(name, {})[home] = (slots, tuple(instances))
        tables = [DirectoryTable(), DirectoryTable()]
        for table, order in zip(tables, (updates, shuffled), strict=True):
            for one in order:
                table.apply(one)
            assert list_homes_by_service(table) == expected
        assert tables[0].compute_digest() == tables[1].compute_digest()
        assert not tables[0].list_newer(tables[1].summarize())

    run()


@given("a directory with 2 homes of a service")
def step_table(context):
    context.updates = [make_update(home, "1", 3, False) for home in "ab"]
    context.homes = DirectoryTable()
    for update in context.updates:
        context.homes.apply(update)


@when("one home is removed and its last update arrives again")
def step_remove_home(context):
    context.homes.remove("a")
    assert not context.homes.apply(context.updates[0])


@when("the removed home is restored")
def step_restore(context):
    context.homes.restore("a")


@then("only the other home is listed")
def step_one_listed(context):
    assert set(list_homes_by_service(context.homes)["svc-0"]) == {"b"}


@then("both homes are listed")
def step_both_listed(context):
    assert set(list_homes_by_service(context.homes)["svc-0"]) == {"a", "b"}
