"""Check that broken servers and callers cannot make a sidecar hold much or lie."""

from behave import given, then, when

from features.support.callers import RawPeer
from features.support.home import SCRIPTS, HomeHarness, RecordingChannel
from flamingobank.loop import HttpClientConnection
from flamingobank.sidecar.decisions.failure_estimate import LONG_RUN_PROBABILITY
from flamingobank.sidecar.links.messages import Answer, AnswerPart, Failed, Granted

CHUNK = 65_536
OWN_HEAD = b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\n"
# For each kind of flood: what is sent once, and what is repeated without end.
FLOODS = {
    "one header": (b"HTTP/1.1 200 X\r\nX-Long: ", b"a" * CHUNK),
    "one status line": (b"HTTP/1.1 200 ", b"a" * CHUNK),
    "headers": (b"HTTP/1.1 200 X\r\n", b"X-Many: a\r\n" * 6000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2600),
    "another request's body": (
        b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r0\r\n\r\n",
        b"a" * CHUNK,
    ),
    "an unsigned body": (b"HTTP/1.1 200 X\r\nRequest-Id: r1\r\n\r\n", b"a" * CHUNK),
    "a refusal's body": (
        b"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n",
        b"a" * CHUNK,
    ),
    "a signed body": (OWN_HEAD + b"\r\n", b"a" * CHUNK),
}
REQUEST_FLOODS = {
    "one header": (b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: ", b"a" * 8192),
    "one target": (b"GET /", b"a" * 8192),
    "headers": (b"GET / HTTP/1.1\r\nHost: x\r\n", b"X-Many: a\r\n" * 700),
}


class Flood:
    """Script of a server that writes one piece after another while it is read."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated

    def __call__(self, connection, head):
        connection.on_drained = lambda: self.write(connection, self.repeated)
        self.write(connection, self.first + self.repeated)

    def write(self, connection, data):
        """Write one piece; the next follows when the socket has taken it."""
        connection.connection.write(data)


def _make_home(context, script):
    SCRIPTS["test"] = script
    context.home = HomeHarness("test")
    del SCRIPTS["test"]


@given("a home whose server sends {kind} without end")
def step_flooding_home(context, kind):
    context.taken = 0
    receive = HttpClientConnection.on_data

    def count(connection, data):
        context.taken += len(data)
        receive(connection, data)

    HttpClientConnection.on_data = count
    context.add_cleanup(setattr, HttpClientConnection, "on_data", receive)
    _make_home(context, Flood(*FLOODS[kind]))


@then("the home has taken at most {limit:d} MB from the server")
def step_taken(context, limit):
    assert context.taken <= limit * 2**20, context.taken


class FullChannel(RecordingChannel):
    """Channel of an entry that takes no bytes: all that is sent stays queued."""

    def send(self, message):
        """Queue a message."""
        super().send(message)
        self.output_bytes += len(getattr(message, "body", b""))


@when("an entry offers and commits a request on a link that is full")
def step_commit_full(context):
    harness = context.home
    harness.channel = FullChannel()
    harness.offer(1)
    assert harness.channel.list_kind(Granted)
    harness.commit(1)
    for _ in range(250):
        harness.loop.advance(0.02, turns=2)


@then("the home has taken at most {limit:d} MB from the server after 5 seconds")
def step_taken_later(context, limit):
    assert context.home.channel.list_kind(Answer)
    step_taken(context, limit)


@when("a caller sends {kind} without end")
def step_flooding_caller(context, kind):
    first, repeated = REQUEST_FLOODS[kind]
    harness = context.http
    context.caller = RawPeer(harness.server.address)
    context.sent = 0
    data = first
    while context.sent < 2**20 and not context.caller.poll().ended:
        if context.caller.received:
            break
        rest = context.caller.send(data)
        context.sent += len(data) - len(rest)
        data = rest or repeated
        harness.loop.turn(0)


@then("it gets 431 or a closed connection before it has sent 1 MB")
def step_cut_off(context):
    assert context.sent < 2**20, context.sent
    received = context.caller.poll().received
    assert context.caller.ended or received.startswith(b"HTTP/1.1 431"), received


@given("a home whose server streams an answer with status {status:d} and {ends}")
def step_streaming_home(context, status, ends):
    head = OWN_HEAD.replace(b"200", b"%d" % status) + b"Content-Length: 10\r\n\r\n"

    def stream(connection, request):
        timers, clock = context.home.loop.timers, context.home.loop.clock
        connection.connection.write(head + b"01234")

        def end():
            if ends == "ends":
                connection.connection.write(b"56789")
            else:
                connection.connection.close("script")

        timers.call_at(clock.now() + 1.0, end)

    _make_home(context, stream)


@when("an entry offers and commits a request that is streamed")
def step_commit_streamed(context):
    harness = context.home
    harness.offer(1)
    harness.commit(1)
    for _ in range(100):
        harness.loop.advance(0.02, turns=2)
    (answer,) = harness.channel.list_kind(Answer)
    assert not answer.complete, answer
    assert harness.channel.list_kind(AnswerPart | Failed)


@then("the home's estimate counts it as a {outcome}")
def step_counted(context, outcome):
    harness = context.home
    estimate = harness.home.server_estimate
    failing = estimate.read_failure_probability(harness.loop.clock.now())
    assert (failing > LONG_RUN_PROBABILITY) == (outcome == "failure"), failing
