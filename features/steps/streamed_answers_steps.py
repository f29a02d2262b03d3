"""Check how fast a home reads the streamed answers of its server."""

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.home import SCRIPTS, HomeHarness, RecordingChannel, answer
from features.support.linked import LinkedHarness
from features.support.loop import LOCAL, RawPeer
from flamingobank.loop import HttpClientConnection
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank.sidecar.links.messages import (
    WINDOW_BYTES,
    WINDOW_REVISION,
    Answer,
    AnswerPart,
    Cancel,
    Commit,
    Failed,
    Granted,
    WindowUpdate,
)

HEAD = (
    b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\nContent-Length: %d\r\n\r\n"
)


REQUEST = (
    b"GET /a/%d HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r%d\r\n"
    b"Deadline-Milliseconds: 60000\r\n\r\n"
)
STEP_S = 0.02


class FullChannel(RecordingChannel):
    """The link to an entry that reads nothing: all that is sent stays queued."""

    def __init__(self, revision):
        super().__init__()
        self.peer_revision = revision

    def send(self, message):
        """Record a message and queue its body."""
        super().send(message)
        self.output_bytes += len(getattr(message, "body", b""))


def _make_home(context, respond):
    SCRIPTS["test"] = respond
    context.harness = HomeHarness("test")
    del SCRIPTS["test"]


def _advance(context, seconds):
    for _ in range(round(seconds / 0.05)):
        context.harness.loop.advance(0.05, turns=30)


@given(
    "a home whose server sends {first:d} bytes and, {after:g} s later, the last "
    "{last:d}"
)
def step_home(context, first, after, last):
    def respond(connection, head):
        if len(context.harness.server.requests) > 1:
            connection.connection.write(answer(body=context.other_body))
            return
        timers, clock = context.harness.loop.timers, context.harness.loop.clock
        connection.connection.write(HEAD % (first + last) + b"x" * first)
        timers.call_at(
            clock.now() + after, lambda: connection.connection.write(b"x" * last)
        )

    context.size = first + last
    context.other_body = b"ok"
    _make_home(context, respond)


@when("an entry of revision {revision:d} gets this answer on a link that is full")
def step_full_link(context, revision):
    context.harness.channel = FullChannel(revision)
    context.harness.offer(1)
    context.harness.commit(1)
    _advance(context, 2.0)


@when("it sends another request to the home")
def step_second_request(context):
    harness = context.harness
    harness.offer(2)
    assert len(harness.channel.list_kind(Granted)) == 2, harness.channel.messages
    harness.commit(2)
    _advance(context, 0.5)


@then("the server has run 2 requests on one connection, and both are answered")
def step_both_answered(context):
    harness = context.harness
    assert len(harness.server.requests) == 2, harness.server.requests
    assert len(harness.server.connections) == 1, harness.server.connections
    first = harness.channel.list_kind(Answer | AnswerPart)
    parts = [message for message in first if message.stream == 1]
    assert sum(len(message.body) for message in parts) == context.size
    assert parts[-1].complete, parts[-1]
    second = [message for message in first if message.stream == 2]
    assert second and second[0].body == b"ok", second


@when(
    "an entry of revision {revision:d} gets this answer and takes nothing, and the "
    "home may hold {budget:d} bytes"
)
def step_takes_nothing(context, revision, budget):
    context.read_bytes = 0
    receive = HttpClientConnection.on_data

    def count(connection, data):
        context.read_bytes += len(data)
        receive(connection, data)

    HttpClientConnection.on_data = count
    context.add_cleanup(setattr, HttpClientConnection, "on_data", receive)
    context.harness.home.client.memory = MemoryAccount(budget)
    context.harness.channel.peer_revision = revision
    context.harness.offer(1)
    context.harness.commit(1)
    _advance(context, 1.4)


@then("at most {sent:d} bytes are sent to it, and {read:d} are read from the server")
def step_bounded(context, sent, read):
    parts = context.harness.channel.list_kind(Answer | AnswerPart)
    assert 0 < sum(len(part.body) for part in parts) <= sent, parts
    assert context.read_bytes <= read, context.read_bytes


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("update"), st.integers(-5, 2 * WINDOW_BYTES)),
        st.tuples(st.just("update"), st.just(WINDOW_BYTES)),
        st.tuples(st.just("wait"), st.sampled_from([0.02, 0.3, 1.0])),
        st.tuples(st.just("cancel"), st.just(0)),
        st.tuples(st.just("break"), st.just(0)),
    ),
    max_size=20,
)


@then(
    "in {count:d} random orders of events the entry gets the answer whole, or a part "
    "of it"
)
def step_random_windows(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(
        st.integers(0, 3_000_000), st.integers(0, 3_000_000), st.booleans(), EVENTS
    )
    def check(first, last, is_whole, events):
        _check_random_windows(context, first, last, is_whole, events)

    check()


def _check_random_windows(context, first, last, is_whole, events):
    body = bytes(range(256)) * ((first + last) // 256 + 1)
    body = body[: first + last]

    def respond(connection, head):
        connection.connection.write(HEAD % len(body) + body[:first])
        if is_whole:
            connection.connection.write(body[first:])
            return
        timers, clock = context.harness.loop.timers, context.harness.loop.clock
        timers.call_at(clock.now() + 0.8, lambda: connection.connection.close("script"))

    _make_home(context, respond)
    harness = context.harness
    channel = harness.channel
    channel.peer_revision = WINDOW_REVISION
    harness.offer(1)
    headers = [(b"host", b"x.example"), (b"request-id", b"r1")]
    request = Commit(1, "r1", "GET", b"/a/x", headers, b"", 60.0, "patterns")
    harness.home.receive(channel, request)
    _advance(context, 0.6)
    ended = False
    for event, value in events:
        if event == "update":
            harness.home.receive(channel, WindowUpdate(1, value))
        elif event == "cancel":
            harness.home.receive(channel, Cancel(1))
            ended = True
        elif event == "break":
            harness.home.on_channel_closed(channel)
            ended = True
            break
        _advance(context, value if event == "wait" else 0.05)
    if not ended:
        _advance(context, 1.0)
    while not ended and not _is_complete(channel):
        sent = len(channel.messages)
        harness.home.receive(channel, WindowUpdate(1, WINDOW_BYTES))
        _advance(context, 0.1)
        if len(channel.messages) == sent:
            break
    if ended:
        _advance(context, 4.0)
    received = b"".join(part.body for part in channel.list_kind(Answer | AnswerPart))
    assert body.startswith(received), (len(received), len(body))
    if not ended and (is_whole or not last):
        assert _is_complete(channel) and received == body, (len(received), len(body))
    elif not ended and last:
        assert channel.list_kind(Failed), channel.messages[-1:]
    assert not harness.home.client.memory.answers.bytes
    for connection in harness.server.connections:
        connection.connection.close("end of the test")


def _is_complete(channel):
    return any(part.complete for part in channel.list_kind(Answer | AnswerPart))


class _LinkedCaller(LinkedHarness):
    """A caller, its entry, and homes on other machines, with real sockets."""

    def __init__(self):
        super().__init__(RouteKind.SAFE, 4, 0.0, timeout_s=60.0, max_attempts=1)
        # The time of work and the size of the answer of each request.
        self.plans = []
        for home in self.linked:
            home.harness.server.script = self._respond
        loop = self.loop
        self.server = HttpServer(
            loop.poller,
            loop.timers,
            loop.clock,
            LOCAL,
            lambda: RequestLimits(idle_timeout_s=100),
            self.entry.take,
        )
        self.memory = self.server.caller_limits.memory
        self.connect()
        self.peer = RawPeer(self.server.address, 65536)
        self.received_bytes = 0
        self.heads = []
        self.most_held_bytes = 0

    def _respond(self, connection, head):
        number = int(head.split()[1].rpartition(b"/")[2])
        work_s, size = self.plans[number - 1]
        answer_head = HEAD.replace(b"r1", b"r%d" % number) % size
        self.loop.timers.call_at(
            self.loop.clock.now() + work_s,
            lambda: connection.connection.write(answer_head + bytes(size)),
        )

    def send(self, plans):
        """Send one request for each plan, behind one another."""
        self.plans = plans
        requests = [REQUEST % (number, number) for number in range(1, len(plans) + 1)]
        self.peer.send(b"".join(requests))

    def pass_and_read(self, seconds, bytes_per_step):
        """Let time pass while the caller reads at most some bytes in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.loop.advance(STEP_S, turns=6)
            left = bytes_per_step
            while left > 0 and self._read():
                left -= 65536
                self.loop.turn(0)
            held_bytes = self.memory.caller_output.bytes
            self.most_held_bytes = max(self.most_held_bytes, held_bytes)

    def _read(self):
        before = len(self.peer.received)
        self.peer.poll()
        count = len(self.peer.received) - before
        self.received_bytes += count
        # Bodies are zeros, so that heads are found in what is left without them.
        self.peer.received = self.peer.received.replace(b"\0", b"")
        return count

    @property
    def answered(self):
        """Return the ids and lengths of the answers whose heads have arrived."""
        found = []
        for head in self.peer.received.split(b"HTTP/1.1 200 ")[1:]:
            fields = dict(
                line.lower().split(b": ", 1) for line in head.strip().split(b"\r\n")[1:]
            )
            found.append((fields[b"request-id"], int(fields[b"content-length"])))
        return found


@given("a caller of an entry whose homes are on other machines")
def step_linked_caller(context):
    context.caller = _LinkedCaller()


@when(
    "it sends a request that works for {work:g} s and {count:d} with answers of "
    "{size:d} bytes behind it"
)
def step_send_behind(context, work, count, size):
    context.caller.send([(work, 2), *[(0.01, size)] * count])
    context.caller.pass_and_read(work - 0.1, 0)


@when(
    "it sends a request with an answer of {size:d} bytes and reads {rate:d} bytes a "
    "second"
)
def step_send_long(context, size, rate):
    context.caller.send([(0.01, size)])
    context.caller.pass_and_read(1.2 * size / rate + 1.0, rate * STEP_S)


@then("the entry holds at most {limit:d} bytes for it while the first one works")
@then("the entry holds at most {limit:d} bytes for it")
def step_held(context, limit):
    assert context.caller.most_held_bytes <= limit, context.caller.most_held_bytes


@then("the caller gets all answers whole and in order")
def step_all_whole(context):
    caller = context.caller
    caller.pass_and_read(10.0, 50_000_000)
    expected = [
        (b"r%d" % number, size) for number, (_, size) in enumerate(caller.plans, 1)
    ]
    assert caller.answered == expected, (caller.answered, caller.peer.ended)
    heads = len(caller.peer.received)
    bodies = sum(size for _, size in caller.plans)
    assert caller.received_bytes == heads + bodies, (caller.received_bytes, bodies)


@then("neither process counts memory for it any more")
def step_nothing_counted(context):
    for linked in context.caller.linked:
        held_bytes = linked.harness.home.client.memory.answers.bytes
        assert not held_bytes, held_bytes
    assert not context.caller.memory.total_bytes, context.caller.memory.total_bytes


@when("it gets {count:d} other answers of {size:d} bytes")
def step_other_answers(context, count, size):
    harness = context.harness
    context.other_body = b"o" * size
    for stream in range(2, count + 2):
        harness.offer(stream)
        harness.commit(stream)
        _advance(context, 0.05)
    others = [one for one in harness.channel.list_kind(Answer) if one.stream > 1]
    assert len(others) == count and all(one.complete for one in others), others


@when("it takes the first answer")
def step_take(context):
    for _ in range(4):
        context.harness.home.receive(context.harness.channel, WindowUpdate(1, 100_000))
        _advance(context, 0.05)


@then("it gets that answer whole")
def step_first_whole(context):
    parts = [
        part
        for part in context.harness.channel.list_kind(Answer | AnswerPart)
        if part.stream == 1
    ]
    assert sum(len(part.body) for part in parts) == context.size, parts
    assert parts[-1].complete
