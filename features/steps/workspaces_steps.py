"""Test keys of workspaces: who is served, and for how long a table is trusted."""

from dataclasses import replace
from types import SimpleNamespace

import msgpack
from behave import given, then, when

from features.steps import configuration_spread_steps as spread
from features.steps.sidecar_decisions_steps import ORDERS, make_route
from features.support.home import SCRIPTS, HomeHarness, answer, answer_with
from features.support.loop import TestLoop
from features.support.sidecar import ExchangeHarness, RecordingRequest
from features.support.store_follower import StoreFollower, make_configuration
from features.support.watched_store import WatchedStore
from flamingobank.core import NodeId, VirtualClock, WorkspaceId
from flamingobank.platform.configuration import decode_configuration
from flamingobank.sidecar.decisions.home_choice import ChoiceReason, HomeChoice
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.gossip import DatagramKind
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind, RoutingTable
from flamingobank.sidecar.fleet.workspaces import Workspace, hash_key
from flamingobank.sidecar.http.caller_connection import CallerConnection
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.messages import Answer, Commit, Granted, Offer
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.workspaces.access_control import AccessControl
from flamingobank.sidecar.workspaces.confirmation import TableConfirmation

REVOCATION_S = 5.0
KEYS_S = 3.75


def _make_workspace(name):
    digest = hash_key(f"k-{name}".encode())
    return Workspace(WorkspaceId(name), (digest,), 2, 0.0, 0.0)


def _make_harness(context, scripts, names, public=False):
    context.lines = []
    for method in ("event", "request"):
        original = getattr(EventLog, method)
        record = lambda log, *args, **fields: context.lines.append((args, fields))
        setattr(EventLog, method, record)
        context.add_cleanup(setattr, EventLog, method, original)
    context.harness = harness = ExchangeHarness(RouteKind.UNSAFE, scripts)
    workspaces = tuple(_make_workspace(name) for name in names)
    entry = harness.entry
    entry.access.confirmation = TableConfirmation(REVOCATION_S)
    entry.access.confirmation.set_version(1)
    entry.access.confirmation.note_store(1, harness.loop.clock.now())
    (route,) = entry.table.routes
    routes = (replace(route, public=public),)
    entry.table = replace(entry.table, routes=routes, workspaces=workspaces)
    context.offers = []
    for home in harness.homes.values():
        send = home.send
        home.send = lambda message, send=send: (
            context.offers.append(message) if isinstance(message, Offer) else None,
            send(message),
        )


@given("an entry with a table that is {age}, and a {kind} route")
def step_entry(context, age, kind):
    scripts = [["grant", 200], ["grant", 200]]
    _make_harness(context, scripts, ["clinic"], kind == "public")
    if age == "too old":
        context.harness.loop.advance(KEYS_S)
        context.harness.request.read_at = context.harness.loop.clock.now()
    elif age == "missing":
        context.harness.entry.table = None


@when("configurations with odd keys are decoded")
def step_decode_odd_keys(context):
    context.results = []
    for keys in ("k-clinic", ["k-clinic\ud800"], [b"k-clinic"], {"k-clinic": 1}):
        resource = {
            "resource-kind": "tenants",
            "metadata": {"name": "clinic"},
            "specification": {"api-keys": keys},
        }
        document = {"version": "00000001", "resources": [resource]}
        context.results.append(decode_configuration(document))


@then("no result shows a key, and no part of a key is a key")
def step_check_odd_keys(context):
    for result in context.results:
        assert "k-clinic" not in str(result), result
        if result.is_ok():
            assert result.ok.find_workspace(hash_key(b"k")) is None


@given("an entry with a table without workspaces")
def step_entry_off(context):
    _make_harness(context, [["grant", 200]], [])


@given("its first home is of an earlier build")
def step_old_home(context):
    context.harness.homes["h0"].peer_revision = 1
    # Only the other home is asked afterwards.
    views = [HomeView(NodeId(node), True) for node in sorted(context.harness.homes)]

    def choose_first(service, query, excluded, refused, now):
        view = next(view for view in views if view.node not in excluded)
        return HomeChoice(view, False, ChoiceReason.BY_LOAD)

    context.harness.entry.choose_home = choose_first


@when('the peer "{peer}" has confirmed its table {seconds:g} s ago')
def step_confirmed_by(context, peer, seconds):
    harness = context.harness
    confirmation = harness.entry.access.confirmation
    confirmation.note_peer(1, harness.loop.clock.now() + 1e-3, NodeId(peer))
    harness.loop.clock.advance(seconds + 1e-3)
    harness.request.read_at = harness.loop.clock.now()


@then(
    'the line of the request says that its key rests on "{peer}" and is {age_ms:d} ms '
    "old"
)
def step_line(context, peer, age_ms):
    fields = [fields for args, fields in context.lines if args[0] == "exchange:sent"]
    assert fields and fields[0]["keys_from"] == peer, context.lines
    assert abs(fields[0]["keys_age_ms"] - age_ms) <= 100, fields


@when("a request with {key} and a forged Tenant header is served")
def step_serve(context, key):
    headers = context.harness.request.headers
    values = {"two keys": ["Token k-clinic", "Token k-b"], "no key": []}.get(key, [key])
    headers += [(b"authorization", value.encode()) for value in values]
    headers.append((b"tenant", b"forged"))
    context.harness.run()


def _list_commits(context):
    return [
        commit for home in context.harness.homes.values() for commit in home.commits
    ]


@then('the caller gets {status:d} and the server the workspace "{workspace}"')
@then('the caller gets {status:d} and the server the workspace ""')
def step_served(context, status, workspace=""):
    assert context.harness.final == status, context.harness.request.answers
    _, headers, _ = context.harness.request.answers[0]
    retry_after_s = float(headers.get(b"retry-after", 0))
    assert (0.4 <= retry_after_s <= 1.0) == (status == 503), headers
    commits = [commit.workspace for commit in _list_commits(context)]
    assert commits == ([] if workspace == "-" else [workspace]), commits
    expected = 201 if workspace == "clinic" else 101
    assert all(offer.priority == expected for offer in context.offers), context.offers


@then("the key is in no message, header, log line or metric")
def step_no_key(context):
    harness = context.harness
    seen = [_list_commits(context), context.offers, harness.request.headers]
    text = repr((seen, context.lines, harness.entry.table))
    assert context.lines
    assert "k-clinic" not in text + harness.entry.metrics.render().decode()
    assert "forged" not in text


@then("the server gets both headers as the caller sent them, with priority 1")
def step_unchanged(context):
    (commit,) = _list_commits(context)
    assert (b"authorization", b"Token k-clinic") in commit.headers
    assert (b"tenant", b"forged") in commit.headers
    assert (commit.workspace, context.offers[0].priority) == ("", 1)


@when('the workspace "{workspace}" is configured between an offer and its grant')
def step_configured(context, workspace):
    harness = context.harness
    harness.request.headers.append((b"authorization", f"Token k-{workspace}".encode()))
    harness.request.headers.append((b"tenant", b"forged"))
    harness.entry.take(harness.request)
    workspaces = (_make_workspace(workspace),)
    harness.entry.table = replace(harness.entry.table, workspaces=workspaces)
    harness.loop.advance(0.1)


@then('the server gets the workspace "{workspace}" and neither header of the caller')
def step_own_headers_dropped(context, workspace):
    (commit,) = _list_commits(context)
    assert commit.workspace == workspace
    assert not {b"authorization", b"tenant"} & {name for name, _ in commit.headers}


@given("a home whose server answers")
def step_home(context):
    SCRIPTS["test"] = answer_with(answer())
    context.home = HomeHarness("test")
    del SCRIPTS["test"]


@when('the home gets a request of the workspace "{workspace}"')
def step_home_request(context, workspace):
    home = context.home
    home.offer(1)
    commit = Commit(1, "r1", "GET", b"/a/x", [], b"", 1.5, "orders", workspace)
    home.home.receive(home.channel, commit)
    home.run_until_sent(Answer)


@then('the server gets the header "{line}"')
def step_server_header(context, line):
    (head,) = context.home.server.requests
    assert line in str(head).replace("\\r\\n", "\n").split("\n"), head


class RejectedRequest(CallerRequest):
    """A request whose answer is not sent."""

    def answer(self, status, headers, body):
        """Send nothing."""


@when("a connection rejects a request whose headers carry a key")
def step_reject(context):
    connection = CallerConnection.__new__(CallerConnection)
    connection._pending = []
    connection._memory = MemoryAccount()
    connection._incoming = context.rejected = RejectedRequest(connection)
    context.rejected.headers = [(b"authorization", b"Token k-clinic")]
    connection._reject(400)


@then("none of its headers is kept")
def step_no_headers(context):
    assert not context.rejected.headers


@then("the home of the earlier build got nothing")
def step_old_got_nothing(context):
    assert not context.harness.homes["h0"].commits
    assert context.harness.homes["h0"].cancelled_streams


@given("{count:d} requests of {workspaces:d} workspaces that wait at a home")
def step_waiting(context, count, workspaces):
    names = [f"w{number}" for number in range(workspaces)]
    _make_harness(context, [["queue"] * count], names)
    harness = context.harness
    harness.homes["h0"].script += [200] * count
    context.requests = []
    for number in range(count):
        request = RecordingRequest(harness.loop.clock.now(), RouteKind.UNSAFE)
        key = f"Token k-w{number % workspaces}".encode()
        request.headers += [
            (b"authorization", key),
            (b"deadline-milliseconds", b"9000"),
        ]
        context.requests.append(request)
        harness.entry.take(request)
    harness.loop.advance(0.1)
    assert len(harness.entry.exchanges) == count


@when("{change} while they wait, and the home grants them all")
def step_change(context, change):
    harness = context.harness
    if change == "the table becomes too old":
        harness.entry.access.confirmation.note_store(1, harness.loop.clock.now())
        harness.entry.access.confirmation._confirmed = replace(
            harness.entry.access.confirmation._confirmed, at=0.0
        )
    else:
        table = harness.entry.table
        harness.entry.table = replace(table, workspaces=table.workspaces[::2])
    home = harness.homes["h0"]
    for stream in list(home.handlers):
        home.reply(Granted(stream))
    for _ in range(3):
        harness.loop.advance(0.1)


@then(
    "{refused:d} requests get {status:d} without being sent, and the others are served"
)
def step_waiting_checked(context, refused, status):
    statuses = [request.answers[0][0] for request in context.requests]
    served = len(context.requests) - refused
    assert statuses.count(status) == refused and statuses.count(200) == served, statuses
    assert len(_list_commits(context)) == served


class ConfirmingProcess(spread.FollowingProcess):
    """A process that tracks when its table was confirmed."""

    def __init__(self, loop, store, name, seed):
        super().__init__(loop, store, name, seed)
        self.confirmation = confirmation = TableConfirmation(REVOCATION_S)
        self.reports = []
        self.sync.on_confirmed = self.note_store
        self.sync.needs_reading = lambda: confirmation.needs_reading(loop.clock.now())
        self.gossip.on_confirmation = self.note_peer
        self.gossip.get_confirmation_age_s = self.compute_age_s

    def compute_age_s(self):
        """Return the age of the table."""
        return self.confirmation.compute_age_s(self.loop.clock.now())

    def note_store(self, version, at):
        """Take a reading of the store."""
        self.reports.append(at)
        self.confirmation.note_store(version, at)

    def note_peer(self, version, at, peer):
        """Take what a peer reports."""
        self.reports.append(at)
        self.confirmation.note_peer(version, at, peer)

    def apply(self, version):
        """Put a newer version in force."""
        if version > self.version:
            self.confirmation.set_version(version)
        super().apply(version)


@given("{count:d} processes that confirm their tables")
def step_confirming(context, count):
    original, spread.FollowingProcess = spread.FollowingProcess, ConfirmingProcess
    try:
        spread.step_follow(context, count, 1)
    finally:
        spread.FollowingProcess = original
    context.loop.poller.clock = context.loop.clock
    spread._advance(context, 3)


@when("all but one, which is no watcher, are of an earlier build for 10 seconds")
def step_earlier_builds(context):
    new = next(p for p in context.processes if not p.sync.is_watcher())
    for process in context.processes:
        if process is not new:
            process.gossip.get_confirmation_age_s = lambda: None
            process.sync.needs_reading = lambda: False
    context.processes = [new]
    step_calm(context)


@then("its table was never older than 3.75 seconds, at 1 call a second at most")
def step_read_in_time(context):
    assert context.oldest_s < KEYS_S, context.oldest_s
    assert context.calls <= 10, context.calls


@when("10 seconds pass in calm")
def step_calm(context):
    before = sum(process.store.calls for process in context.processes)
    context.oldest_s = 0.0
    for _ in range(100):
        spread._advance(context, 0.1)
        oldest_s = max(process.compute_age_s() for process in context.processes)
        context.oldest_s = max(context.oldest_s, oldest_s)
    context.calls = sum(p.store.calls for p in context.processes) - before


@then("no table was older than 2 seconds, and the store got at most 7 calls a second")
def step_calm_bounds(context):
    assert context.oldest_s < 2.0, context.oldest_s
    assert context.calls <= 70, context.calls


@when("the store is down for 8 seconds")
def step_store_down(context):
    context.affected = context.processes
    _pass_fault(context, lambda down: setattr(context.store, "unavailable", down))


@when("one process hears nobody and nothing for 8 seconds")
def step_alone(context):
    alone = context.processes[0]
    context.affected = [alone]
    receive = alone.gossip._receive

    def cut_off(down):
        alone.gossip._endpoint._on_datagram = (lambda *args: None) if down else receive
        alone.store.store = (
            spread.OperatedStore(context.loop) if down else context.store
        )
        alone.store.store.unavailable = down

    _pass_fault(context, cut_off)


def _pass_fault(context, set_fault):
    set_fault(True)
    # The watches that were open at the start of the fault end without a change.
    context.last_confirmed_at = context.loop.clock.now() + 1.6
    context.late = []
    for _ in range(80):
        spread._advance(context, 0.1)
        now = context.loop.clock.now()
        if now >= context.last_confirmed_at + KEYS_S:
            context.late += [
                p for p in context.affected if p.confirmation.is_fresh(now)
            ]
    set_fault(False)


@then("{process} refuses keys from 3.75 s after the last confirmation on")
def step_refuses(context, process):
    assert not context.late


@then("it uses keys again within 3 seconds after the fault")
def step_used_again(context):
    spread._advance(context, 3)
    now = context.loop.clock.now()
    assert all(process.confirmation.is_fresh(now) for process in context.affected)


@given("a process that started with version 5 {seconds:d} s ago, read when it started")
def step_started(context, seconds):
    context.confirmation = TableConfirmation(REVOCATION_S, 100.0)
    context.confirmation.set_version(5)
    context.confirmation.note_store(5, 100.0)
    context.now = 100.0 + seconds


@when("a peer with version {version:d} reports 1 s")
def step_peer_reports(context, version):
    context.confirmation.note_peer(version, context.now - 1, NodeId("peer"))


@when("the store holds version {version:d}")
@when("the store went back to version {version:d}")
def step_store_holds(context, version):
    context.confirmation.note_store(version, context.now)


@when("the store went back, and a peer has version 6")
def step_went_back(context):
    step_peer_reports(context, 6)
    step_store_holds(context, 4)


@when("version 6 comes into force, reported by {reporter}")
def step_new_version(context, reporter):
    if reporter == "a peer":
        step_peer_reports(context, 6)
    context.confirmation.set_version(6)


@when("no peer has shown its version")
def step_no_peer(context):
    """Do nothing."""


@when("a peer has shown version {version:d}")
def step_peer_version(context, version):
    context.confirmation.note_peer_version(version)


@then("its keys are {use}")
def step_keys_used(context, use):
    assert context.confirmation.is_fresh(context.now) == (use == "used")


@when("one of them is suspended for 10 seconds, with gossip and a reply waiting")
def step_suspended(context):
    suspended, other = context.processes
    loop = context.loop
    suspended.reports.clear()
    context.suspended_at = loop.clock.now()
    other.gossip._send_digest(suspended.table.local_record)
    # No turn of the loop falls into the suspension, and the sockets hold what arrives.
    loop.clock.advance(10.0)
    loop.poller.wait(0)
    assert suspended.reports
    suspended.sync._on_reading(
        spread.Ok(spread.TableReading(None, suspended.sync._position))
    )
    context.suspended = suspended


@then("both date from before the suspension")
def step_dated_before(context):
    reports = context.suspended.reports
    assert len(reports) >= 2
    assert max(reports) <= context.suspended_at + 1.6, reports
    assert min(reports) <= context.suspended_at, reports


@then("the newest reading that it reports to peers does too")
def step_reading_dated_before(context):
    read_at = context.loop.clock.now() - context.suspended.sync.reading_age_s
    assert read_at <= context.suspended_at, read_at - context.suspended_at


@when("one of them, which is no watcher, is suspended for 10 seconds")
def step_suspend_one(context):
    context.suspended = next(p for p in context.processes if not p.sync.is_watcher())
    context.loop.clock.advance(10.0)


def _make_check(process, clock):
    """Return a function that checks a request with a key at a process."""
    access = AccessControl(
        clock, EventLog("own"), SidecarMetrics({"node": "own"}), REVOCATION_S
    )
    access.confirmation = process.confirmation
    access.on_outdated = process.sync.read_now
    route = make_route()
    workspaces = (_make_workspace("clinic"),)
    table = RoutingTable(1, (route,), frozenset([ORDERS]), RequestLimits(), workspaces)
    return lambda: access.check(table, route, hash_key(b"k-clinic"))


@when("{count:d} requests with keys arrive at once when it goes on")
def step_requests_arrive(context, count):
    process = context.suspended
    check = _make_check(process, context.loop.clock)
    context.calls = process.store.calls
    context.accesses = [check() for _ in range(count)]


@when("{event} for 10 seconds, in which requests with keys arrive all the time")
def step_requests_meanwhile(context, event):
    context.calls = [_count_calls(context, event, False)]
    context.execute_steps("Given 20 processes that confirm their tables")
    context.calls.append(_count_calls(context, event, True))


def _count_calls(context, event, with_requests):
    clock = context.loop.clock
    if event == "the store is down":
        context.store.unavailable = True
    else:
        # Each process has heard of a version that the store lost.
        for process in context.processes:
            process.confirmation.note_peer(2, clock.now() + 10, NodeId("peer"))
            process.confirmation.set_version(1)
            process.confirmation.note_peer(2, clock.now() + 10, NodeId("peer"))
    checks = [_make_check(process, clock) for process in context.processes]
    before = sum(process.store.calls for process in context.processes)
    for _ in range(500):
        spread._advance(context, spread.STEP_S)
        if with_requests:
            for check in checks:
                check()
    assert not any(check().is_allowed for check in checks)
    return sum(process.store.calls for process in context.processes) - before


@then("the store gets at most {percent:d}% more calls than without them")
def step_few_more_calls(context, percent):
    without, with_requests = context.calls
    assert with_requests <= without * (1 + percent / 100), context.calls


@then(
    "they are refused, and {seconds:g} seconds later keys are used again, after "
    "{calls:d} call"
)
def step_used_soon(context, seconds, calls):
    assert not any(access.is_allowed for access in context.accesses)
    # Nobody else's reading or report arrives meanwhile.
    process, clock = context.suspended, context.loop.clock
    for _ in range(round(seconds / 0.01)):
        clock.advance(0.01)
        context.loop.timers.run_due()
    assert process.confirmation.is_fresh(clock.now())
    assert process.store.calls == context.calls + calls


@when("one of them is suspended for 10 seconds while it sends the age of its table")
def step_suspended_sender(context):
    sender, receiver = context.processes
    clock = context.loop.clock
    context.known_at = clock.now() - sender.compute_age_s()
    receiver.reports.clear()
    send = sender.gossip._endpoint.send

    def send_late(data, address):
        if msgpack.unpackb(data)[0] == DatagramKind.CONFIRMATION:
            clock.advance(10.0)
            # The receiver is not suspended: it looks for datagrams until this arrives.
            context.loop.poller.wait(0)
            context.loop.poller.wait(0)
        send(data, address)

    sender.gossip._endpoint.send = send_late
    _report(context, sender, receiver)
    sender.gossip._endpoint.send = send


@when("it reports to the other once more")
def step_report_again(context):
    _report(context, *context.processes)


def _report(context, sender, receiver):
    sender.gossip._send_digest(receiver.table.local_record)
    # No timer runs, so that nobody reads the store.
    context.loop.poller.wait(0)


@then("the other dates no confirmation after the time that the first one knows")
def step_dated_as_known(context):
    reports = context.processes[1].reports
    assert reports
    assert max(reports) <= context.known_at, max(reports) - context.known_at


@given("a process that watches the store over a connection")
def step_watching(context):
    context.loop = loop = TestLoop(VirtualClock(100.0))
    loop.poller.clock = loop.clock
    item = {
        "metadata": {"name": "main", "revision": 1},
        "specification": make_configuration(1),
    }
    context.store = store = WatchedStore(item)
    context.add_cleanup(store.close)
    context.follower = StoreFollower(SimpleNamespace(loop=loop, proxy=store), "one")
    context.confirmed_at = []
    context.follower.sync.on_confirmed = lambda version, at: (
        context.confirmed_at.append(at)
    )
    context.follower.sync.start()
    _pass_time(context, lambda: store.watch is not None)
    context.watched_at = loop.clock.now()


def _pass_time(context, condition):
    for _ in range(200):
        if condition():
            return
        context.store.serve()
        context.loop.advance(0.02)
    raise AssertionError("the condition did not hold in 4 s")


@when("the store cuts the watch off, and the process is suspended before it reads that")
def step_cut_off(context):
    clock = context.loop.clock
    cut_off_at = context.watched_at + 0.2
    _pass_time(context, lambda: clock.now() >= cut_off_at)
    context.confirmed_at.clear()
    context.ended_at = clock.now()
    context.store.end_watch()
    # The call has not yet reached its timeout when the process goes on.
    clock.advance_to(context.watched_at + context.store.wait_s + 0.2)
    context.loop.run_until(lambda: context.confirmed_at, "the answer is read")


@when("the store answers the watch at the end of its wait")
def step_watch_ends(context):
    end = context.watched_at + context.store.wait_s
    _pass_time(context, lambda: context.loop.clock.now() >= end)
    context.confirmed_at.clear()
    context.ended_at = context.loop.clock.now()
    context.store.end_watch()
    context.loop.run_until(lambda: context.confirmed_at, "the answer is read")


@then("the table is confirmed at no time after the watch was cut off")
def step_not_confirmed_later(context):
    late_s = max(context.confirmed_at) - context.ended_at
    assert late_s <= 0, late_s


@then("the table is confirmed at most {seconds:g} s before that")
def step_confirmed_near(context, seconds):
    early_s = context.ended_at - max(context.confirmed_at)
    assert early_s <= seconds, early_s
