"""Send and receive large bodies, and count the memory that they take."""

import random
import tracemalloc

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.loop import LOCAL, RawPeer, TestLoop
from features.support.stopping import StoppingHarness
from flamingobank.core import ServiceName, VirtualClock
from flamingobank.loop import Connection, ConnectionHandler, Listener
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank.sidecar.links.channels import AcceptedChannel, PeerObserver
from flamingobank.sidecar.links.codec import (
    MAX_COPIED_BODY_BYTES,
    MessageReader,
    pack_message,
    pack_pieces,
)
from flamingobank.sidecar.links.links import LinkObserver, LinkPool, StreamHandler
from flamingobank.sidecar.links.messages import (
    PROTOCOL_VERSION,
    Answer,
    AnswerPart,
    Commit,
    Granted,
    Hello,
    HomeReport,
    Offer,
    Refused,
)

LIMITS = RequestLimits(max_body_bytes=64 * 2**20)
BODY_BYTES = 60 * 2**20
CHUNK = b"%x\r\n%s\r\n" % (65536, b"x" * 65536)
# The chunks of a body that is refused before all of them are sent.
CHUNKS = 400
REPORT = HomeReport("orders", 0.05, 0, 0, 4, True)


class SendingSide(ConnectionHandler):
    """Accept one connection, to write to it."""

    def __init__(self, loop):
        self.loop = loop
        self.connection = None
        self.listener = Listener(loop.poller, LOCAL, self.accept)
        self.peer = RawPeer(self.listener.address, 8192)
        loop.run_until(lambda: self.connection, "the connection")

    def accept(self, sock):
        """Keep the connection."""
        self.connection = Connection(self.loop.poller, sock, self, connecting=False)

    def on_connected(self):
        """Do nothing: an accepted connection is already open."""

    def on_data(self, data):
        """Ignore input."""

    def on_closed(self, reason):
        """Do nothing."""

    def read(self, count):
        """Return what the peer has read when it has a number of bytes."""
        self.loop.run_until(
            lambda: len(self.peer.poll().received) >= count, f"{count} bytes"
        )
        return self.peer.received


@then("{count:d} random sequences of output arrive as they were written")
def step_random_output(context, count):
    sizes = st.lists(
        st.one_of(
            st.integers(1, 2000), st.integers(60_000, 70_000), st.just(1_500_000)
        ),
        min_size=1,
        max_size=12,
    )

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(sizes, st.integers(0, 10_000))
    def check(sizes, seed):
        rng = random.Random(seed)
        side = SendingSide(TestLoop(VirtualClock(100.0)))
        written = b""
        for size in sizes:
            data = rng.randbytes(size)
            written += data
            side.connection.write(data)
            if rng.random() < 0.3:
                side.loop.turn(0)
        assert side.read(len(written)) == written
        assert side.connection.output_bytes == 0
        side.connection.close("done")
        side.listener.close()

    check()


@when("{size:d} bytes are written to a peer that reads 64 KB at a time")
def step_write_large(context, size):
    side = SendingSide(TestLoop(VirtualClock(100.0)))
    data = random.Random(1).randbytes(size)
    tracemalloc.start()
    side.connection.write(data)
    left = size
    while left:
        side.loop.turn(0)
        side.peer.received = b""
        left -= len(side.peer.poll().received)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("at most {limit:d} bytes are allocated for sending them")
def step_allocated(context, limit):
    assert context.peak_bytes <= limit, context.peak_bytes


@then(
    "{count:d} random messages with bodies are the same in pieces, and large bodies "
    "are not copied"
)
def step_pieces(context, count):
    size = st.one_of(
        st.integers(0, 100),
        st.integers(MAX_COPIED_BODY_BYTES - 2, MAX_COPIED_BODY_BYTES + 2),
        st.integers(100_000, 200_000),
    )
    headers = st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9)))
    rng = random.Random(1)

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(size, headers, st.integers(0, 2**40), st.sampled_from("cap"))
    def check(size, headers, stream, kind):
        body = b"b" * size
        message = {
            "c": Commit(stream, "r1", "POST", b"/x", headers, body, 1.5, "orders"),
            "a": Answer(stream, 200, headers, body, True, REPORT),
            "p": AnswerPart(stream, body, False),
        }[kind]
        pieces = pack_pieces(message)
        assert b"".join(pieces) == pack_message(message)
        assert MessageReader().feed(b"".join(pieces)) == [message]
        # Messages behind one another, received in parts of any size.
        reader, received = MessageReader(), []
        data = b"".join(pieces) * 3
        step = rng.choice((1000, 4096, 65536, 100_000))
        for start in range(0, len(data), step):
            received += reader.feed(data[start : start + step])
        for piece in pieces:
            received += reader.feed(piece)
        assert received == [message] * 4
        if size > MAX_COPIED_BODY_BYTES:
            assert any(piece is body for piece in pieces)

    check()


class LargeBodyCaller:
    """A caller that begins a large body."""

    def __init__(self, context, how):
        framing = b"Transfer-Encoding: chunked"
        if how == "with its length":
            framing = b"Content-Length: %d" % BODY_BYTES
        self.peer = RawPeer(context.server.address)
        self.peer.send(b"POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n" % framing)
        for _ in range(3):
            context.loop.turn(0)


@given(
    "an HTTP server that takes bodies of 64 MB, and {count:d} callers with bodies of "
    "60 MB"
)
def step_open_bodies(context, count):
    context.loop = TestLoop(VirtualClock(100.0))
    context.server = HttpServer(
        context.loop.poller,
        context.loop.timers,
        context.loop.clock,
        LOCAL,
        lambda: LIMITS,
        lambda request: request.answer(200, [], b"%d" % len(request.body)),
    )
    context.callers = [
        LargeBodyCaller(context, "with its length") for _ in range(count)
    ]


@when("another caller begins a body of 60 MB {how}")
def step_begin(context, how):
    context.caller = LargeBodyCaller(context, how)
    if how == "with its length":
        return
    for _ in range(CHUNKS):
        rest = CHUNK
        while rest and not context.caller.peer.poll().received:
            rest = context.caller.peer.send(rest)
            context.loop.turn(0)
        if context.caller.peer.received:
            return


@when("another caller sends a body of {size:d} bytes")
def step_small_body(context, size):
    context.caller = peer = RawPeer(context.server.address)
    peer.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size)
    peer.send(b"x" * size)


@then("it is answered")
def step_small_answered(context):
    peer = context.caller
    context.loop.run_until(lambda: b"\r\n\r\n1000" in peer.poll().received, "an answer")


@then("it gets {status:d} with a time to come back, and the connection is closed")
def step_refused(context, status):
    peer = context.caller.peer
    context.loop.run_until(lambda: peer.poll().ended, "the end")
    head = peer.received.lower()
    assert head.startswith(b"http/1.1 %d" % status), peer.received[:200]
    assert b"\r\nretry-after: " in head and b"\r\nconnection: close" in head


@then("the other callers are not affected")
def step_others(context):
    for caller in context.callers:
        assert not caller.peer.poll().received and not caller.peer.ended


@when("the first caller has left and another begins a body of 60 MB with its length")
def step_after_first(context):
    context.callers[0].peer.close()
    for _ in range(3):
        context.loop.turn(0)
    context.caller = LargeBodyCaller(context, "with its length")


@then("it is read")
def step_read(context):
    for _ in range(10):
        context.loop.turn(0)
    assert not context.caller.peer.poll().received
    assert not context.caller.peer.ended


class CountingChannel(AcceptedChannel):
    """A channel that counts the bytes that it has read."""

    read_bytes = 0

    def on_data(self, data):
        self.read_bytes += len(data)
        super().on_data(data)


class SlowPeer(LinkObserver, PeerObserver):
    """A peer whose process reads a link at a limited rate."""

    def __init__(self, loop, rate):
        self.loop = loop
        self.rate = rate
        self.allowance = 0.0
        self.received = []
        self.channels = []
        self.listener = Listener(loop.poller, LOCAL, self.accept)

    def accept(self, sock):
        """Accept a link."""
        channel = CountingChannel(
            self, EventLog("peer"), Hello(PROTOCOL_VERSION, "peer", "peer-boot")
        )
        channel.attach(Connection(self.loop.poller, sock, channel, connecting=False))
        self.channels.append(channel)

    def on_peer_message(self, channel, message):
        """Record a message."""
        self.received.append(message)

    def on_control_message(self, link, message):
        """Ignore messages without a stream."""

    def on_channel_closed(self, channel):
        """Do nothing."""

    def read(self, seconds):
        """Let the process read what its rate allows in some seconds."""
        self.allowance += self.rate * seconds
        for channel in self.channels:
            if channel.closed:
                continue
            channel._connection.resume_reading()
            while self.allowance >= 65536:
                before = channel.read_bytes
                self.loop.turn(0)
                count = channel.read_bytes - before
                self.allowance -= count
                if not count:
                    break
            channel._connection.pause_reading()


class RecordingStream(StreamHandler):
    """The handler of a request that records the loss of its link."""

    def __init__(self):
        self.lost = False

    def on_message(self, message):
        """Ignore messages."""

    def on_link_lost(self):
        self.lost = True
        return False

    def on_home_restarted(self):
        """Do nothing."""


@given("a link to a peer that reads {rate:d} MB a second")
def step_slow_link(context, rate):
    loop = context.loop = TestLoop(VirtualClock(100.0))
    context.slow_peer = SlowPeer(loop, rate * 10**6)
    links = LinkPool(
        loop.poller,
        loop.timers,
        loop.clock,
        random.Random(1),
        EventLog("own"),
        Hello(PROTOCOL_VERSION, "own", "own-boot"),
    )
    links.observer = context.slow_peer
    context.link = links.get(context.slow_peer.listener.address)
    context.stream = RecordingStream()


@when("a request with a body of {size:d} bytes is sent on it")
def step_send_large(context, size):
    context.size = size
    context.link.open_stream(1, context.stream)
    body = b"b" * size
    context.link.send(
        Commit(1, "r1", "POST", b"/x", [], body, 60.0, ServiceName("orders"))
    )
    context.loop.run_until(lambda: context.link.may_answer, "the link")
    context.sent_at = context.loop.clock.now()


def _read_until(context, condition, seconds):
    """Let time pass and the peer read; return whether a condition came to hold."""
    loop = context.loop
    end = loop.clock.now() + seconds
    while loop.clock.now() < end and not condition():
        loop.advance(0.05, turns=2)
        context.slow_peer.read(0.05)
    return condition()


@then(
    "the peer has the whole request after more than {seconds:d} seconds, on the same "
    "link"
)
def step_whole_request(context, seconds):
    received = context.slow_peer.received
    assert _read_until(context, lambda: received, 20)
    assert len(received[0].body) == context.size
    assert context.loop.clock.now() > context.sent_at + seconds
    assert not context.stream.lost and len(context.slow_peer.channels) == 1


@when("the peer reads nothing more after {seconds:d} second")
def step_stop_reading(context, seconds):
    assert not _read_until(context, lambda: context.stream.lost, seconds)
    context.slow_peer.rate = 0


@then("the link is closed within {seconds:d} seconds")
def step_link_closed(context, seconds):
    assert _read_until(context, lambda: context.stream.lost, seconds)


@given(
    "a home that grants an offer after {delay:g} s, as it waits behind a large message"
)
def step_backlog(context, delay):
    harness = context.harness = StoppingHarness(RouteKind.UNSAFE, 1)
    harness.offer_reaction = "silent"
    home = context.home = next(iter(harness.homes.values()))
    home.has_backlog = True
    context.offers = []
    send = home.send

    def record_and_send(message):
        if isinstance(message, Offer):
            context.offers.append(message)
            home.reply(Granted(message.stream), delay)
        send(message)

    home.send = record_and_send


@when("an unsafe request is offered to it")
def step_offer(context):
    context.caller = context.harness.call(b"POST", 3.0)
    context.harness.advance(1.0)


@then("the request is answered {status:d} and the home was asked once")
def step_answered(context, status):
    assert context.caller.status == status, context.caller.status
    assert len(context.offers) == 1, context.offers


@when("the request for the slot arrives within {seconds:d} seconds, {how}")
def step_arrives_slowly(context, seconds, how):
    harness = context.harness
    for _ in range(seconds * 5):
        harness.loop.advance(0.2)
        if how == "some bytes each 0.2 seconds":
            harness.channel.pending_bytes += 100_000
    harness.commit(1)


@then("it is refused as never received")
def step_never_received(context):
    refused = context.harness.channel.list_kind(Refused)
    assert [message.reason for message in refused] == ["never-received"], refused
