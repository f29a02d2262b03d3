"""Let servers leave, and deliver their announcements late."""

import json
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.home import HomeHarness
from features.support.store_follower import GossipingFollower, StoreWorld
from flamingobank.platform.announcements import decode_call
from flamingobank.platform.store import PEER_KIND
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import unpack_record
from flamingobank.sidecar.homes.announcements import AnnouncementHandler
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank_standins.platform.store import StoreMode

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

    def _keep(self, on_done):
        self.published = self.home.server.list_latest_departures(PUBLISHED)
        on_done(True)

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


class DepartingProcess:
    """A process with a home that follows the store through its real client."""

    def __init__(self, world):
        self.world = world
        self.follower = GossipingFollower(world, "n1")
        self.home = HomeHarness("never answers", world.loop).home
        self.control = AnnouncementHandler(
            self.home.clock,
            lambda: 5000,
            self.home,
            EventLog("n1"),
            SidecarMetrics({"node": "n1"}),
            decode_call,
        )
        self.control.keep_departures = self._keep
        self.follower.gossip.on_previous_record = self._recall

    def _recall(self, record):
        self.home.server.recall_departures(set(record.departures))
        self._publish()

    def _publish(self):
        departures = self.home.server.list_latest_departures(PUBLISHED)
        self.follower.gossip.publish(departures=departures)

    def _keep(self, on_done):
        self._publish()
        self.follower.sync.record_writer.save_departures(on_done)

    def leave(self):
        """Deliver the server's notice of leaving."""
        call = RecordingCall("i-1", "deregister", None)
        self.control.take(call)
        return call

    def drain(self, sequence):
        """Deliver a heartbeat of the draining server."""
        document = {
            "born": 100,
            "address": ADDRESS,
            "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "draining", "sequence": sequence},
        }
        call = RecordingCall("i-1", "heartbeat", document)
        self.control.take(call)
        return call

    def list_saved(self):
        """Return the instances whose departures the store has."""
        saved = self.world.store.find(PEER_KIND, "n1")
        if saved is None:
            return []
        record = unpack_record(saved["record"])
        return sorted(instance for instance, _ in record.departures)


STORE_MODES = {
    "busy": StoreMode.BUSY,
    "silent": StoreMode.SILENT,
    "resetting": StoreMode.RESETTING,
}


@given("a process whose store is {state}")
def step_process(context, state):
    context.world = StoreWorld()
    if state == "not read by the process so far":
        context.world.store.mode = StoreMode.BUSY
    context.process = DepartingProcess(context.world)
    context.process.follower.sync.start()
    context.world.advance(2)
    if state in STORE_MODES:
        context.world.store.mode = STORE_MODES[state]


@given("a process whose first write to the store takes {seconds:f} seconds")
def step_slow_write(context, seconds):
    context.world = StoreWorld()
    context.world.store.delays_s = {"PUT": seconds, "POST": seconds}
    context.process = DepartingProcess(context.world)
    context.process.follower.sync.start()


@when("its server leaves while that write is on its way")
def step_leaves_meanwhile(context):
    store = context.world.store
    calls = store.calls
    for _ in range(20):
        context.world.advance(0.02)
        if store.calls > calls + 2:
            break
    assert not context.process.list_saved()
    context.call = context.process.leave()
    store.delays_s = {}


@given(
    "a process whose predecessor saved a departure, and a store that is slow to list"
)
def step_predecessor(context):
    context.world = StoreWorld()
    former = DepartingProcess(context.world)
    former.follower.sync.start()
    former.home.server.recall_departures({("i-0", 50)})
    context.world.advance(1)
    former._publish()
    former.follower.sync.record_writer.save_if_needed()
    context.world.advance(1)
    assert former.list_saved() == ["i-0"]
    former.follower.sync.stopping = True
    former.follower.gossip._endpoint.close()
    context.world.store.delays_s = {"GET": 0.4}
    context.process = DepartingProcess(context.world)
    table = context.process.follower.table
    table.update_local(incarnation=table.local_record.incarnation + 1)
    context.process.follower.sync.start()


@when("its server leaves")
def step_server_leaves(context):
    context.call = context.process.leave()


@then("its server gets no more work at once")
def step_no_more_work(context):
    assert not context.process.home.server.accepts_work


@then("its server is answered {status:d} within a second")
def step_answered(context, status):
    context.world.advance(0.9)
    assert context.call.status == status, context.call.status


@when("the store answers again for {seconds:g} seconds and the server leaves once more")
def step_store_back(context, seconds):
    context.world.store.mode = StoreMode.SERVING
    context.world.advance(seconds)
    context.call = context.process.leave()


@then("the store has the departure")
def step_saved(context):
    assert context.process.list_saved() == ["i-1"]


@then("the store has both departures")
def step_both_saved(context):
    assert context.process.list_saved() == ["i-0", "i-1"]


@when("its server announces {count:d} times that it drains")
def step_repeats(context, count):
    store = context.world.store
    context.calls = []
    context.revision = store._revision
    for sequence in range(1, count + 1):
        context.calls.append(context.process.drain(sequence))
        context.world.advance(0.2)


@then("each is answered 200, and the record is written once")
def step_written_once(context):
    assert [call.status for call in context.calls] == [200] * len(context.calls)
    assert context.world.store._revision == context.revision + 1


@given("a process whose {write} was not answered and takes effect 2 seconds later")
def step_late_write(context, write):
    context.world = StoreWorld()
    if write != "first write":
        former = DepartingProcess(context.world)
        former.follower.sync.start()
        context.world.advance(1)
        former.follower.sync.stopping = True
        former.follower.gossip._endpoint.close()
        assert context.world.store.find(PEER_KIND, "n1") is not None
    context.process = DepartingProcess(context.world)
    table = context.process.follower.table
    table.update_local(incarnation=table.local_record.incarnation + 1)
    context.world.store.mode = StoreMode.LATE
    context.process.follower.sync.start()
    context.world.advance(0.3)


@when("its server leaves after the store answers again")
def step_leaves_after(context):
    context.world.store.mode = StoreMode.SERVING
    context.world.advance(0.6)
    context.call = context.process.leave()


@then("the store still has the departure {seconds:d} seconds later")
def step_still_saved(context, seconds):
    context.world.advance(seconds)
    assert context.process.list_saved() == ["i-1"], context.process.list_saved()


@given("a process that has left, and a watcher that has listed its record as running")
def step_left_and_watcher(context):
    context.world = StoreWorld()
    former = DepartingProcess(context.world)
    context.watcher = GossipingFollower(context.world, "n2")
    former.follower.sync.start()
    context.watcher.sync.start()
    context.world.advance(3)
    context.left = replace(
        former.follower.table.local_record,
        revision=former.follower.table.local_record.revision + 1,
        left=True,
    )
    former.follower.sync.stopping = True
    former.follower.gossip._endpoint.close()


@when("the process is replaced, and the watcher retires the former record")
def step_replaced_then_retired(context):
    context.process = DepartingProcess(context.world)
    table = context.process.follower.table
    table.update_local(incarnation=table.local_record.incarnation + 1)
    context.process.follower.sync.start()
    context.world.advance(1)
    context.watcher.sync._retire(context.left)
    context.world.advance(0.3)


@then("the store has the record of the new process")
def step_new_record(context):
    saved = context.world.store.find(PEER_KIND, "n1")
    assert saved is not None
    record = unpack_record(saved["record"])
    expected = context.process.follower.table.local_record.incarnation
    assert record.incarnation == expected, record


@given("a process whose entry in the store another writer changes all the time")
def step_contested(context):
    context.world = StoreWorld()
    context.process = DepartingProcess(context.world)
    context.process.follower.sync.start()
    context.world.advance(2)
    store = context.world.store
    execute = store._execute

    def change_and_execute(request):
        if request.method == "PUT":
            entry = store.find(PEER_KIND, "n1")
            store.put(PEER_KIND, "n1", entry | {"changes": entry.get("changes", 0) + 1})
        execute(request)

    store._execute = change_and_execute
    context.calls_before = store.calls


@then("at most {limit:d} calls were made to the store in that second")
def step_few_calls(context, limit):
    calls = context.world.store.calls - context.calls_before
    assert 2 < calls <= limit, calls
