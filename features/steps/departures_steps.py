"""Let servers leave, and deliver their announcements late."""

import json

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.home import HomeHarness
from flamingobank.platform.announcements import decode_call
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.homes.announcements import AnnouncementHandler
from flamingobank.sidecar.metrics import SidecarMetrics

ADDRESS = "127.0.0.1:8080"
# The start that a home knows of before a scenario begins.
KNOWN_START_MS = 1000
# Departures that a process publishes for its successor.
PUBLISHED = 8


class RecordingCall:
    """A server's call to the control address that records its answer."""

    def __init__(self, instance, action, document):
        self.method = "POST"
        self.target = f"/flamingobank/instances/{instance}/{action}".encode()
        self.body = json.dumps(document).encode() if document else b""
        self.status = None

    def answer(self, status, headers, body):
        """Record the status."""
        assert self.status is None, "answered twice"
        self.status = status


class DepartureHarness:
    """A home and its handler of announcements, with a wall clock set by the test."""

    def __init__(self):
        self.wall_ms = 0
        # What a later process on the machine can read.
        self.published = ()
        self.replace_process()

    def replace_process(self):
        """Start a process anew, which knows what its predecessor published."""
        self.home = HomeHarness("never answers").home
        self.home.server.__init__()
        self.home.server.recall_departures(set(self.published))
        self.control = AnnouncementHandler(
            self.home.clock,
            lambda: self.wall_ms,
            self.home,
            EventLog("home"),
            SidecarMetrics({"node": "home"}),
            decode_call,
        )
        self.control.keep_departures = self._keep

    def _keep(self, on_kept):
        self.published = self.home.server.list_latest_departures(PUBLISHED)
        on_kept()

    def call(self, instance, action, document):
        """Deliver a call and return it with its answer."""
        call = RecordingCall(instance, action, document)
        self.control.take(call)
        return call

    def announce(self, instance, started, sequence=1, state="ready"):
        """Deliver a heartbeat."""
        document = {
            "born": started,
            "address": ADDRESS,
            "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": state, "sequence": sequence},
        }
        return self.call(instance, "heartbeat", document)

    def leave(self, instance, started=None):
        """Deliver a notice of leaving, which names a start or none."""
        document = None if started is None else {"born": started}
        return self.call(instance, "deregister", document)

    def sends_work_to(self, instance):
        """Return whether the home sends work to an instance."""
        server = self.home.server
        return server.accepts_work and server.current.instance == instance


@given("a home that has heard of no server")
def step_new_home(context):
    context.harness = DepartureHarness()


@given('a home that knows "{instance}" since its start')
def step_home_with_server(context, instance):
    context.harness = DepartureHarness()
    context.harness.wall_ms = KNOWN_START_MS
    context.harness.announce(instance, KNOWN_START_MS)
    assert context.harness.sends_work_to(instance)


@when('the server "{instance}" that started at {started:d} leaves at {now:d} {named}')
def step_leaves(context, instance, started, now, named):
    context.started = started
    context.harness.wall_ms = now
    start = started if named == "naming its start" else None
    context.notice = context.harness.leave(instance, start)
    assert context.notice.status == 200


@when("its announcement as ready from before arrives")
def step_late(context):
    context.harness.wall_ms += 2000
    call = context.harness.announce("a", context.started, sequence=900)
    assert call.status == 200


@when("the process of the home is replaced, and its successor reads what was published")
def step_process_replaced(context):
    context.harness.replace_process()


@when('"{instance}" starts again at {started:d} and announces itself')
def step_starts_again(context, instance, started):
    context.harness.wall_ms = max(context.harness.wall_ms, started) + 1
    context.harness.announce(instance, started)


@when('a late notice says that the start of "{instance}" at {started:d} leaves')
def step_late_notice(context, instance, started):
    context.harness.wall_ms = 5000
    context.harness.leave(instance, started)


@then('the server "{instance}" gets no work')
def step_no_work(context, instance):
    assert not context.harness.sends_work_to(instance)


@then('the server "{instance}" gets work')
def step_work(context, instance):
    assert context.harness.sends_work_to(instance)


@then("the departure was published and kept before it was confirmed")
def step_kept(context):
    instances = [instance for instance, _ in context.harness.published]
    assert instances == ["a"], context.harness.published


class RandomHistory:
    """One machine: starts of a server, its notices, and delayed announcements."""

    def __init__(self):
        self.harness = DepartureHarness()
        self.harness.wall_ms = 1000
        self.started = 0
        self.departed = set()
        # Starts whose announcement as ready may still arrive.
        self.delayed = []

    def start_server(self, delayed):
        """Start the server again under its id, a while after the former start."""
        self.harness.wall_ms += 100
        self.started = self.harness.wall_ms
        if delayed:
            self.delayed.append(self.started)
            return
        self.harness.wall_ms += 10
        self.harness.announce("a", self.started)
        assert self.harness.sends_work_to("a"), self.started

    def leave(self, named):
        """Let the current start leave."""
        if not self.started:
            return
        self.harness.wall_ms += 50
        self.departed.add(self.started)
        call = self.harness.leave("a", self.started if named else None)
        assert call.status == 200

    def drain(self):
        """Let the current start announce that it drains."""
        if not self.started:
            return
        self.departed.add(self.started)
        call = self.harness.announce("a", self.started, 500, "draining")
        assert call.status == 200

    def deliver_late(self, index):
        """Deliver an announcement that was delayed, maybe not for the first time."""
        if self.delayed:
            self.harness.announce("a", self.delayed[index], sequence=1)

    def replace_process(self):
        """Replace the process."""
        self.harness.replace_process()

    def check(self):
        """Check that work goes to a start that has not left."""
        server = self.harness.home.server
        if server.accepts_work:
            assert server.current.started_ms not in self.departed, self.departed


# Steps that occur more than once are chosen more often.
HISTORY_STEPS = st.sampled_from(
    [
        ("start_server", True),
        ("start_server", True),
        ("start_server", False),
        ("leave", False),
        ("leave", False),
        ("leave", True),
        ("drain",),
        ("deliver_late", 0),
        ("deliver_late", -1),
        ("deliver_late", -1),
        ("replace_process",),
        ("replace_process",),
    ]
)


@then(
    "in {count:d} random histories no departed start gets work, and each new start does"
)
def step_histories(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(st.lists(HISTORY_STEPS, min_size=6, max_size=30))
    def check(steps):
        history = RandomHistory()
        for name, *arguments in steps:
            getattr(history, name)(*arguments)
            history.check()

    check()
