"""Harness for a home with a scripted server on loopback sockets."""

import socket

from features.support.callers import ScriptedServer
from features.support.loop import TestLoop
from flamingobank.core import InstanceId, ServiceName, VirtualClock
from flamingobank.platform.headers import PlatformDialect
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter, RetryBudget
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.server_state import Announcement, Lifecycle
from flamingobank.sidecar.homes.home import Home
from flamingobank.sidecar.homes.server_client import ServerClient
from flamingobank.sidecar.links.messages import Commit, Offer
from flamingobank.sidecar.metrics import SidecarMetrics

# The wall-clock time of announcements, later than the starts of all servers.
WALL_MS = 1_000_000
SIGNED_ANSWER = (
    b"HTTP/1.1 %d X\r\nServer-Seal: s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
)


def answer(status=200, request_id=b"r1", body=b"ok"):
    """Return a signed answer of a server."""
    return SIGNED_ANSWER % (status, request_id, len(body), body)


def answer_with(data):
    """Return a script that answers with the given bytes."""
    return lambda connection, head: connection.connection.write(data)


def close_without_answer(connection, head):
    """End the connection without an answer."""
    connection.connection.close("script")


def break_off(connection, head):
    """Send an answer without its last 5 bytes and close the connection."""
    connection.connection.write(answer(body=b"0123456789")[:-5])
    connection.connection.close_after_output()


def crash(connection, head):
    """Simulate a process crash: close the listener and reset the connection."""
    connection.server.listener.close()
    connection.connection.reset("crash")


SCRIPTS = {
    "crashes": crash,
    'answers "ok"': answer_with(answer()),
    "sheds it": answer_with(
        b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "is another instance": answer_with(
        b"HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n"
    ),
    "closes without an answer": close_without_answer,
    "answers another request": lambda connection, head: (
        connection.connection.write(answer(request_id=b"r0")),
        connection.connection.close_after_output(),
    ),
    "breaks off in the answer": break_off,
    "succeeds without its seal": answer_with(
        b"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"
    ),
    "answers another request first": answer_with(answer(request_id=b"r0") + answer()),
    "answers twice": answer_with(answer() + answer()),
    "never answers": lambda connection, head: None,
}


class RecordingChannel:
    """Stand-in for an entry's connection that records the home's messages."""

    holds_bodies = True

    def __init__(self, boot="e"):
        self.peer_boot = boot
        self.peer_revision = 2
        self.messages = []
        self.output_bytes = 0
        self.pending_bytes = 0

    def send(self, message):
        """Record a message."""
        self.messages.append(message)

    def list_kind(self, kind):
        """Return the recorded messages of one type."""
        return [message for message in self.messages if isinstance(message, kind)]


class HomeHarness:
    """A home, its scripted server and the channel of one entry."""

    def __init__(self, behaviour, loop=None, server=None):
        """Start a home; a given server is one that ran before the home started."""
        self.loop = loop or TestLoop(VirtualClock(100.0))
        dialect = PlatformDialect()
        clock, timers = self.loop.clock, self.loop.timers
        client = ServerClient(self.loop.poller, timers, clock, dialect)
        self.channel = RecordingChannel()
        self.crashes = CrashReports(clock, EventLog("home"))
        self.metrics = SidecarMetrics({"node": "home"})
        self.home = Home(
            clock,
            timers,
            client,
            dialect,
            EventLog("home"),
            self.metrics,
            list,
            self.crashes,
            RepeatedRunLimiter(RetryBudget(0.0, 100.0, 10.0), lambda: 1),
        )
        if behaviour == "refuses the connection":
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                address = unused.getsockname()
            self.server = None
        else:
            self.server = server or ScriptedServer(self.loop, SCRIPTS[behaviour])
            address = self.server.listener.address
        self.announce(1, Lifecycle.READY, address)
        self.address = address

    def announce_as(self, instance, warmup_s=0.0):
        """Announce another instance, with a later start, to the home."""
        self.announce(
            1, Lifecycle.READY, instance=instance, started=200, warmup_s=warmup_s
        )

    def announce(
        self,
        sequence,
        lifecycle,
        address=None,
        instance="i-1",
        started=100,
        service="orders",
        warmup_s=0.0,
    ):
        """Announce the server to its home."""
        announcement = Announcement(
            InstanceId(instance),
            started,
            sequence,
            ServiceName(service),
            address or self.address,
            "v1",
            4,
            lifecycle,
            warmup_s,
        )
        self.home.server.take(announcement, self.loop.clock.now(), WALL_MS)
        self.home.on_server_changed()

    def offer(self, stream, idempotent=True, forced=False, repeated=False):
        """Send an offer to the home."""
        final_attempt = not idempotent
        offer = Offer(
            stream, "orders", idempotent, final_attempt, 1, 2.0, 1.0, forced, repeated
        )
        self.home.receive(self.channel, offer)

    def commit(self, stream, channel=None):
        """Send the request of a granted offer."""
        headers = [(b"host", b"x.example"), (b"request-id", b"r1")]
        message = Commit(stream, "r1", "GET", b"/a/x", headers, b"", 1.5, "patterns")
        self.home.receive(channel or self.channel, message)

    def run_until_sent(self, kind):
        """Run the loop until the home has sent a message of a type."""
        self.loop.run_until(lambda: self.channel.list_kind(kind), str(kind))
