"""Test the connections of a sidecar on loopback sockets."""

import random
import socket

from behave import given, then, when

from features.support.home import HomeHarness, RecordingChannel
from features.support.loop import LOCAL, RawPeer, TestLoop
from flamingobank.core import VirtualClock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.fleet.server_state import Lifecycle
from flamingobank.sidecar.http.caller_request import CallerWatcher
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank.sidecar.links.links import LinkPool
from flamingobank.sidecar.links.messages import (
    PROTOCOL_VERSION,
    Answer,
    Cancel,
    Failed,
    Granted,
    Hello,
    Queued,
    Refused,
    Resume,
)

LIMITS = RequestLimits(16_384, 1000, 5.0, 15.0)
GET = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"


class RecordingWatcher(CallerWatcher):
    """Record that the caller's connection ended."""

    def __init__(self):
        self.left = False

    def on_caller_left(self):
        self.left = True


class HttpHarness:
    """An HTTP server and one connected caller."""

    def __init__(self, handle):
        self.loop = TestLoop(VirtualClock(100.0))
        self.requests = []
        self.watcher = RecordingWatcher()

        def take(request):
            request.watcher = self.watcher
            self.requests.append(request)
            handle(self, request)

        self.server = HttpServer(
            self.loop.poller,
            self.loop.timers,
            self.loop.clock,
            LOCAL,
            lambda: LIMITS,
            take,
        )
        self.peer = RawPeer(self.server.address)

    def read_until(self, text):
        """Run the loop until the caller has received a text."""
        self.loop.run_until(lambda: text in self.peer.poll().received, repr(text))


def _echo(harness, request):
    request.answer(200, [], request.body)


def _answer_in_reverse(harness, request):
    if len(harness.requests) == 2:
        harness.requests[1].answer(200, [], b"second")
        harness.requests[0].answer(200, [], b"first")


@given("an HTTP server that answers the second request before the first")
def step_reverse(context):
    context.http = HttpHarness(_answer_in_reverse)


@given("an HTTP server that echoes bodies")
def step_echo(context):
    context.http = HttpHarness(_echo)


@given("an HTTP server that never answers")
def step_no_answers(context):
    context.http = HttpHarness(lambda harness, request: None)


@when("a caller sends two requests in one write")
def step_two_requests(context):
    context.http.peer.send(GET % b"1" + GET % b"2")


@when("a caller sends two requests in one write and the server drains")
def step_two_draining(context):
    harness = context.http
    harness.peer.send(GET % b"1")
    harness.loop.run_until(lambda: harness.requests, "first request")
    harness.server.drain()
    harness.peer.send(GET % b"2")


@then('it receives "first" and then "second"')
def step_in_order(context):
    context.http.read_until(b"second")
    received = context.http.peer.received
    assert received.index(b"first") < received.index(b"second")


@then("the connection is closed")
def step_connection_ends(context):
    peer = context.http.peer
    context.http.loop.run_until(lambda: peer.poll().ended, "close of the connection")
    assert peer.ended == "end", peer.ended


@when("a caller sends a chunked body byte by byte")
def step_bytes(context):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    for position in range(len(data)):
        context.http.peer.send(data[position : position + 1])
        context.http.loop.turn(0)


@then("it receives its whole body back")
def step_body(context):
    context.http.read_until(b"\r\n\r\nabcdefg")


@when('a caller sends "{request}"')
def step_send(context, request):
    data = {
        "a head of 20000 bytes": b"GET / HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n"
        % (b"a" * 20_000),
        "a body of 2000 bytes": b"POST / HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 2000\r\n\r\n",
        "two lengths": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\na",
        "no HTTP": b"hello there\r\n\r\n",
    }[request]
    context.http.peer.send(data)


@when("a caller sends a request and then bytes that are no request")
def step_garbage_behind(context):
    harness = context.http
    harness.peer.send(GET % b"1" + b"hello there\r\n\r\n")
    harness.loop.run_until(lambda: harness.requests, "first request")


@when("the request is answered {seconds:d} seconds later")
def step_answer_later(context, seconds):
    for _ in range(2 * seconds):
        context.http.loop.advance(0.5)
    context.http.requests[0].answer(200, [], b"first")


@then("the caller gets that answer and then {status:d}")
def step_answer_then_refusal(context, status):
    context.http.read_until(b"HTTP/1.1 %d" % status)
    received = context.http.peer.received
    assert received.index(b"first") < received.index(b"HTTP/1.1 %d" % status)


@then("it gets {status:d} and the connection is closed")
def step_refused(context, status):
    context.http.read_until(b"HTTP/1.1 %d" % status)
    step_connection_ends(context)
    assert not context.http.requests


@when("a caller sends half a request head and waits 6 seconds")
def step_half_head(context):
    context.http.peer.send(b"GET / HTTP/1.1\r\nHost:")
    for _ in range(20):
        context.http.loop.turn(0)
    for _ in range(12):
        context.http.loop.advance(0.5)


@when("a caller sends a request and closes")
def step_send_and_close(context):
    context.http.peer.send(GET % b"1")
    context.http.loop.run_until(lambda: context.http.requests, "request")
    context.http.peer.close()


@then("the request's watcher is called")
def step_watcher(context):
    watcher = context.http.watcher
    context.http.loop.run_until(lambda: watcher.left, "caller left")


@given("a home with a server that {behaviour}")
def step_home(context, behaviour):
    context.home = HomeHarness(behaviour)


@when("an entry offers and commits a request")
def step_commit(context):
    harness = context.home
    harness.offer(1)
    assert harness.channel.list_kind(Granted)
    harness.commit(1)
    harness.run_until_sent(Answer | Failed)


@then("the server got it once with its instance, the service and the remaining time")
def step_server_got(context):
    (request,) = context.home.server.requests
    assert request.startswith(b"GET /a/x HTTP/1.1\r\n")
    for line in (
        b"request-id: r1",
        b"expected-instance: i-1",
        b"calling-service: patterns",
        b"deadline-milliseconds: 1500",
    ):
        assert line in request, request


@then("the entry gets the server's answer")
def step_entry_answer(context):
    harness = context.home
    harness.run_until_sent(Answer)
    (message,) = harness.channel.list_kind(Answer)
    assert (message.status, message.body, message.complete) == (200, b"ok", True)


@then('the entry is told "{outcome}"')
def step_told(context, outcome):
    harness = context.home
    refused = harness.channel.list_kind(Refused)
    if refused:
        assert outcome == "not run", refused
        return
    (message,) = harness.channel.list_kind(Failed)
    assert message.not_run == (outcome == "not run"), message


@then("the next request uses a new connection")
def step_new_connection(context):
    harness = context.home
    harness.offer(2)
    harness.commit(2)
    harness.loop.run_until(lambda: len(harness.server.requests) == 2, "second request")
    assert len(harness.server.connections) == 2


@when("an entry offers 6 requests and commits those that are granted")
def step_six_offers(context):
    harness = context.home
    for stream in range(6):
        harness.offer(stream)
    for granted in harness.channel.list_kind(Granted):
        harness.commit(granted.stream)
    harness.loop.run_until(lambda: len(harness.server.requests) == 4, "4 requests")


@then("the server got 4 requests and 2 were refused")
def step_four_requests(context):
    for _ in range(20):
        context.home.loop.turn(0)
    assert len(context.home.server.requests) == 4
    refused = context.home.channel.list_kind(Refused)
    assert [message.reason for message in refused] == ["busy", "busy"]


@when("an entry fills the slots, queues a forced offer and cancels the first request")
def step_queue(context):
    harness = context.home
    for stream in range(4):
        harness.offer(stream)
        harness.commit(stream)
    harness.offer(9, forced=True)
    assert harness.channel.list_kind(Queued)
    assert len(harness.channel.list_kind(Granted)) == 4
    harness.home.receive(harness.channel, Cancel(0))


@then("the queued offer is granted")
def step_granted(context):
    assert context.home.channel.list_kind(Granted)[-1].stream == 9


@when("the server drains between the grant and the request")
def step_drain(context):
    harness = context.home
    harness.offer(1)
    harness.announce(2, Lifecycle.DRAINING)
    harness.commit(1)


@then("the server got nothing")
def step_got_nothing(context):
    for _ in range(20):
        context.home.loop.turn(0)
    assert not context.home.server.requests


@when("the link breaks before the answer and the entry asks again on a new link")
def step_resume(context):
    harness = context.home
    harness.offer(1)
    harness.commit(1)
    broken = harness.channel
    harness.home.on_channel_closed(broken)
    harness.channel = RecordingChannel()
    harness.home.receive(harness.channel, Resume(1))


@then("the server got it once")
def step_once(context):
    assert len(context.home.server.requests) == 1


@when("the link breaks after the grant and the entry asks again on a new link")
def step_lost_commit(context):
    harness = context.home
    harness.offer(1)
    context.broken = harness.channel
    harness.channel = RecordingChannel()
    harness.home.receive(harness.channel, Resume(1))


@then("a late copy of the request is refused")
def step_late_copy(context):
    harness = context.home
    harness.commit(1, context.broken)
    assert context.broken.list_kind(Refused)
    step_got_nothing(context)


@when("the link breaks after the request and 2 seconds pass")
def step_orphan(context):
    harness = context.home
    harness.offer(1)
    harness.commit(1)
    harness.loop.run_until(lambda: harness.server.requests, "request")
    harness.home.on_channel_closed(harness.channel)
    for _ in range(10):
        harness.loop.advance(0.2)


@then("the server's connection is closed")
def step_closed(context):
    harness = context.home
    harness.loop.run_until(lambda: harness.server.connections[0].closed, "close")


@when("the retry budget is used up for the calls of a repeated run")
def step_calls_spent(context):
    run_limiter = context.home.home.run_limiter
    run_limiter.start_run()
    for _ in range(100):
        run_limiter.note_request("patterns", 100.0)
    context.home.offer(1, repeated=True)
    context.home.offer(2)


@when("3 repeated requests are granted, and the calls of the first use up the budget")
def step_granted_before_spent(context):
    home = context.home
    for stream in (1, 2, 3):
        home.offer(stream, repeated=True)
    assert len(home.channel.list_kind(Granted)) == 3
    home.commit(1)
    for _ in range(100):
        home.home.run_limiter.note_request("patterns", 100.0)
    home.commit(2)
    home.commit(3)


@then("the other two are refused as not run when their requests arrive")
def step_refused_at_start(context):
    refused = context.home.channel.list_kind(Refused)
    assert [(message.stream, message.reason) for message in refused] == [
        (2, "calls-spent"),
        (3, "calls-spent"),
    ]
    for _ in range(5):
        context.home.loop.turn()
    assert len(context.home.server.requests) == 1


@then("a repeated request is refused and a first one is granted")
def step_repeat_refused(context):
    (refused,) = context.home.channel.list_kind(Refused)
    assert (refused.stream, refused.reason) == (1, "calls-spent")
    assert [message.stream for message in context.home.channel.list_kind(Granted)] == [
        2
    ]


@given("homes with servers that crash on each request")
def step_crashing(context):
    context.homes = [HomeHarness("crashes"), HomeHarness("crashes")]
    context.reports = []
    for number, harness in enumerate(context.homes):
        harness.announce_as(f"i-{number}")
        harness.crashes.broadcast = lambda *report: context.reports.append(report)


@when("one request crashes two of them")
def step_crash_two(context):
    for harness in context.homes:
        harness.offer(1)
        harness.commit(1)
        harness.run_until_sent(Failed)


@then("it is refused once the crashes are reported, and another request is not")
def step_quarantined(context):
    assert len(context.reports) == 2, context.reports
    crashes = CrashReports(context.homes[0].loop.clock, EventLog("entry"))
    assert not crashes.is_quarantined("GET", b"/a/x", b"")
    for report in context.reports:
        crashes.receive_report(*report)
    assert crashes.is_quarantined("GET", b"/a/x", b"")
    assert not crashes.is_quarantined("GET", b"/a/y", b"")


@when("the entry cancels the request while the home checks the server")
def step_cancel_while_checked(context):
    harness = context.home
    checks = []
    harness.home.client.check_process = checks.append
    harness.offer(1)
    harness.commit(1)
    harness.loop.run_until(lambda: checks, "check of the server")
    harness.home.receive(harness.channel, Cancel(1))
    checks[0](False)


@then("the crash is reported")
def step_crash_reported(context):
    assert context.home.crashes.has_reports


@then("no crash is reported")
def step_no_crash(context):
    assert len(context.home.channel.list_kind(Failed)) == 1
    assert not context.home.crashes.has_reports


@when("a caller's request arrives {when} and the server {action}")
def step_arrive_and_stop(context, when, action):
    harness = context.http
    peer = harness.peer
    if when == "on an open connection":
        for _ in range(3):
            harness.loop.turn(0)
        assert harness.server.connections
    peer.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
    if action == "closes":
        harness.server.draining = True
        harness.server.close()
    else:
        harness.server.drain()


@then("the caller gets its answer")
def step_gets_answer(context):
    context.http.read_until(b"body")


@when("the home is paused for {seconds:d} seconds between the grant and the request")
def step_pause_home(context, seconds):
    harness = context.home
    harness.offer(1)
    assert harness.channel.list_kind(Granted)
    harness.loop.advance(seconds, turns=1)
    harness.commit(1)


def _find_closed_address():
    with socket.socket() as unused:
        unused.bind(LOCAL)
        return unused.getsockname()


@given("links to a peer that left and to one that is only unreachable")
def step_links(context):
    loop = context.loop = TestLoop(VirtualClock(100.0))
    context.left, context.unreachable = _find_closed_address(), _find_closed_address()
    context.connects = []
    context.pool = LinkPool(
        loop.poller,
        loop.timers,
        loop.clock,
        random.Random(1),
        EventLog("own"),
        Hello(PROTOCOL_VERSION, "own", "b"),
    )
    context.pool.is_member = lambda address: address == context.unreachable
    for address in (context.left, context.unreachable):
        context.pool.get(address).connect()


@when("the sidecar runs for {seconds:d} seconds")
def step_seconds_pass(context, seconds):
    for _ in range(seconds * 10):
        context.loop.advance(0.1)


@then("only the unreachable peer is tried again")
def step_tried(context):
    assert list(context.pool.list_links()) == [context.unreachable]
    assert context.pool.get(context.unreachable).retry_at > 105.0
