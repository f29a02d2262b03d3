"""Send requests on connections that are closed after an answer."""

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.steps.sidecar_network_steps import GET
from features.support.loop import RawPeer
from features.support.stopping import GRACE_S, REQUEST, StoppingHarness
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.fleet.routes import RouteKind

BUDGET_MS = 3000
UPGRADE = (
    b"POST /1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings%s\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n%s\r\n\r\n%s"
)
CHUNKS = b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
OFFERS = {
    "h2c without a body": UPGRADE % (b"", b"X-A: b", b""),
    "websocket": b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\n\r\n",
    "h2c with a length": UPGRADE % (b"", b"Content-Length: 4", b"abcd"),
    "h2c in chunks": UPGRADE % (b"", b"Transfer-Encoding: chunked", CHUNKS),
    "h2c with length 0": UPGRADE % (b"", b"Content-Length: 0", b""),
    "a hidden request": UPGRADE % (b"", b"Content-Length: %d" % len(HIDDEN), HIDDEN),
    "h2c that closes": UPGRADE % (b", close", b"Content-Length: 4", b"abcd"),
    "both lengths": UPGRADE
    % (b"", b"Content-Length: 4\r\nTransfer-Encoding: chunked", CHUNKS),
    "a tunnel": b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n",
}
STEP_S = 0.02


class PipeliningCaller:
    """A caller that sends requests behind one another to a sidecar that is stopped."""

    def __init__(self):
        self.harness = StoppingHarness(RouteKind.SAFE, 3, timeout_s=5.0)
        self.harness.choose_work_s = lambda request_id: 0.3
        self.peer = RawPeer(self.harness.server.address)
        self.count = 0
        self.started_at = self.harness.now

    def wait_until(self, seconds):
        """Let time pass until some seconds after the start."""
        while self.harness.now < self.started_at + seconds - STEP_S / 2:
            self.harness.loop.advance(STEP_S, turns=3)
            self.peer.poll()

    def make_request(self):
        """Return the next request."""
        self.count += 1
        return REQUEST % (b"GET", self.count, BUDGET_MS)

    def send(self):
        """Send the next request."""
        self.peer.send(self.make_request())

    @property
    def whole_answers(self):
        """Return how many answers have arrived as a whole."""
        rest, count = self.peer.received, 0
        while rest:
            head, found, rest = rest.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
            size = int(fields.get(b"Content-Length", 0))
            if not found or len(rest) < size:
                break
            rest = rest[size:]
            count += 1
        return count

    @property
    def passed_on(self):
        """Return the numbers of the requests that homes got."""
        homes = self.harness.homes.values()
        return {int(commit.request_id[1:]) for home in homes for commit in home.commits}


@given(
    "a caller whose answer has its head after {head:g} s and its end after {end:g} s"
)
def step_caller(context, head, end):
    context.caller = PipeliningCaller()
    context.caller.harness.streamed["r1"] = (head, end)
    context.caller.send()


@when(
    "the process gets SIGTERM after {stop:g} s, and the caller sends another after "
    "{at:g} s"
)
def step_send_behind(context, stop, at):
    caller = context.caller
    for moment, act in sorted([(stop, caller.harness.stop), (at, caller.send)]):
        caller.wait_until(moment)
        act()
    caller.wait_until(stop + GRACE_S + 1)


@when(
    "the process gets SIGTERM after {stop:g} s, and the caller sends another in parts "
    "after {first:g} and {second:g} s"
)
def step_send_parts(context, stop, first, second):
    caller = context.caller
    request = caller.make_request()
    caller.wait_until(stop)
    caller.harness.stop()
    caller.wait_until(first)
    caller.peer.send(request[:30])
    caller.wait_until(second)
    caller.peer.send(request[30:])
    caller.wait_until(stop + GRACE_S + 1)


@then(
    "the caller gets {answers:d} whole answers, and {passed:d} requests were passed on"
)
def step_answers(context, answers, passed):
    caller = context.caller
    assert caller.whole_answers == answers, caller.peer.received
    assert caller.passed_on == set(range(1, passed + 1)), caller.passed_on


@then("the connection ends regularly")
def step_regular_end(context):
    assert context.caller.peer.ended == "end", context.caller.peer.ended


def _use_account(context):
    """Let the server count in an account of our own, from its next connection on."""
    harness = context.http
    context.memory = MemoryAccount(1000)
    harness.peer.close()
    harness.server.caller_limits.memory = context.memory
    harness.peer = RawPeer(harness.server.address)


def _send(harness, data):
    harness.peer.send(data)
    for _ in range(3):
        harness.loop.turn(0)
        harness.peer.poll()


@when("all memory is taken and a caller sends {count:d} requests in {writes:d} writes")
def step_no_memory(context, count, writes):
    _use_account(context)
    context.memory.outcomes.bytes = 2000
    for _ in range(writes):
        _send(context.http, GET % b"1" * (count // writes))


@given("a caller whose second request was refused while all memory was taken")
def step_refused_behind(context):
    _use_account(context)
    _send(context.http, GET % b"1")
    context.memory.outcomes.bytes = 2000
    _send(context.http, GET % b"2")


@when("memory is free again and the caller sends another request")
def step_memory_free(context):
    context.memory.outcomes.bytes = 0
    _send(context.http, GET % b"3")


@when("the first request is answered")
def step_first_answered(context):
    context.http.requests[0].answer(200, [], b"ok")


@then(
    "the caller gets the statuses {first} and {second}, and 1 request has been "
    "passed on"
)
def step_statuses(context, first, second):
    harness = context.http
    harness.loop.run_until(lambda: harness.peer.poll().ended, "the end")
    answers = harness.peer.received.split(b"HTTP/1.1 ")[1:]
    assert [one.split()[0].decode() for one in answers] == [first, second], answers
    assert len(harness.requests) == 1, harness.requests


@then("the caller gets status 503 and no request has been passed on")
def step_refused(context):
    harness = context.http
    harness.loop.run_until(lambda: harness.peer.poll().ended, "the end")
    assert harness.peer.received.count(b"HTTP/1.1 ") == 1, harness.peer.received
    assert harness.peer.received.startswith(b"HTTP/1.1 503 "), harness.peer.received
    assert not harness.requests, harness.requests


@then("the server counts no memory for requests")
def step_nothing_counted(context):
    assert not context.memory.requests.bytes, context.memory.requests.bytes


@when('a caller sends "{request}" and two plain requests, {how}')
def step_offer(context, request, how):
    harness = context.http
    pieces = [OFFERS[request], GET % b"2", GET % b"3"]
    if how == "in one write":
        pieces = [b"".join(pieces)]
    elif how == "byte by byte":
        pieces = [bytes([byte]) for byte in b"".join(pieces)]
    for piece in pieces:
        _send(harness, piece)


@then('the server has got the bodies "{bodies}"')
@then('the server has got the bodies ""')
def step_bodies(context, bodies=""):
    expected = [
        {"-": b"", "hidden": HIDDEN}.get(body, body.encode()) for body in bodies.split()
    ]
    harness = context.http
    harness.loop.run_until(
        lambda: len(harness.requests) >= len(expected), "the requests"
    )
    for _ in range(20):
        harness.loop.turn(0)
        harness.peer.poll()
    # The server echoes each body.
    got = [
        answer.partition(b"\r\n\r\n")[2]
        for answer in harness.peer.received.split(b"HTTP/1.1 200 OK")[1:]
    ]
    assert got == expected, got
    assert len(harness.requests) == len(expected), harness.requests


@then('the answers have the statuses "{statuses}" and the connection is {end}')
def step_offer_answers(context, statuses, end):
    harness = context.http
    for _ in range(20):
        harness.loop.turn(0)
        harness.peer.poll()
    answers = harness.peer.received.split(b"HTTP/1.1 ")[1:]
    assert [one.split()[0].decode() for one in answers] == statuses.split(), answers
    assert bool(harness.peer.ended) == (end == "closed"), harness.peer.ended


ANSWERS = st.one_of(st.none(), st.tuples(st.floats(0.02, 1.0), st.floats(1.02, 2.0)))
REQUESTS = st.lists(st.tuples(st.floats(0.0, 2.0), ANSWERS), min_size=1, max_size=6)


@then("in {count:d} random stops each request that was passed on is answered")
def step_random(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(st.floats(0.0, 1.5), REQUESTS)
    def check(stop, requests):
        _check_random_stop(stop, requests)

    check()


def _check_random_stop(stop, requests):
    caller = PipeliningCaller()
    acts = [(stop, caller.harness.stop)] + [(at, caller.send) for at, _ in requests]
    for number, (_, answer) in enumerate(sorted(requests, key=lambda one: one[0]), 1):
        if answer is not None:
            caller.harness.streamed[f"r{number}"] = answer
    for moment, act in sorted(acts, key=lambda one: one[0]):
        caller.wait_until(moment)
        act()
    caller.wait_until(stop + GRACE_S + 1)
    newest = max(caller.passed_on, default=0)
    assert caller.whole_answers >= newest, (newest, caller.peer.received)
    assert caller.peer.ended == "end", caller.peer.ended
    caller.peer.close()
