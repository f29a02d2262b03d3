"""Check that peers and the store cannot make a process hold bytes without end."""

import struct

from behave import given, then, when

from features.support.callers import ScriptedServer
from features.support.loop import TestLoop
from flamingobank.core import VirtualClock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.channels import MessageChannel, PeerObserver
from flamingobank.store import CallFailed, LoopTransport
from flamingobank.store.calls import StoreCall

CHUNK_BYTES = 65_536
MEGABYTE = 2**20
MAX_SENT_BYTES = 32 * MEGABYTE
# What is sent once, and what is repeated without end. A message of a link is msgpack.
LINK_BYTES = {
    "one text": (b"\xdb" + struct.pack(">I", 2**32 - 1), b"a" * CHUNK_BYTES),
    "one list": (b"\xdd" + struct.pack(">I", 2**32 - 1), b"\x01" * CHUNK_BYTES),
    "nested lists": (b"", b"\x91" * CHUNK_BYTES),
}
OK = b"HTTP/1.1 200 OK\r\n"
STORE_BYTES = {
    "one header": (OK + b"X-Long: ", b"a" * CHUNK_BYTES),
    "headers": (OK, b"X-Many: a\r\n" * 6000),
    "a body": (OK + b"Content-Length: 999999999999\r\n\r\n", b"a" * CHUNK_BYTES),
    "a chunk": (
        OK + b"Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
        b"a" * CHUNK_BYTES,
    ),
}


class ClosingObserver(PeerObserver):
    """Record that the channel was closed."""

    def __init__(self):
        self.closed = False

    def on_peer_message(self, channel, message):
        """Ignore messages."""

    def on_channel_closed(self, channel):
        """Record the close."""
        self.closed = True


class RecordedConnection:
    """A connection that only tells its channel of its close."""

    def limit_unsent_output(self):
        """Do nothing: nothing is sent."""

    def __init__(self, channel):
        self.channel = channel

    def close(self, reason):
        """Close the channel."""
        self.channel.on_closed(reason)


@given("a link that a peer has opened")
def step_link(context):
    context.observer = ClosingObserver()
    context.channel = MessageChannel(context.observer, EventLog("own"))
    context.channel.attach(RecordedConnection(context.channel))


@when("the peer sends {what} without end")
def step_send_on_link(context, what):
    first, repeated = LINK_BYTES[what]
    context.channel.on_data(first + repeated)
    context.taken = len(repeated)
    while not context.observer.closed and context.taken < 256 * MEGABYTE:
        context.channel.on_data(repeated)
        context.taken += len(repeated)


@then("the link is closed before it has taken {limit:d} MB")
def step_link_closed(context, limit):
    assert context.observer.closed
    assert context.taken < limit * MEGABYTE, context.taken


@given("a client of a store that answers {what} without end")
def step_endless_store(context, what):
    context.first, context.repeated = STORE_BYTES[what]
    context.connections = []
    loop = context.loop = TestLoop(VirtualClock(100.0))
    server = ScriptedServer(
        loop, lambda connection, head: context.connections.append(connection)
    )
    context.transport = LoopTransport(
        loop.poller, loop.timers, loop.clock, server.listener.address, token=""
    )


@when("it calls the store")
def step_call_store(context):
    answers = []
    call = StoreCall("GET", "/flamingobank/objects/config", timeout_s=5.0)
    context.transport.send(call, answers.append)
    context.loop.run_until(lambda: context.connections, "the call")
    (server_side,) = context.connections
    server_side.connection.write(context.first)
    context.sent = 0
    while not answers and context.sent < MAX_SENT_BYTES:
        if not server_side.connection.output_bytes:
            server_side.connection.write(context.repeated)
            context.sent += len(context.repeated)
        context.loop.turn(0)
    assert answers, f"the call goes on after {context.sent} bytes"
    (context.answer,) = answers


@then("the call fails, and the client has taken at most {limit:d} MB")
def step_call_failed(context, limit):
    assert isinstance(context.answer, CallFailed), context.answer
    assert context.sent <= limit * MEGABYTE, context.sent
