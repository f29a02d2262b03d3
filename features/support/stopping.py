"""A sidecar's entry that serves real connections while its process is stopped."""

from features.support.home import HomeHarness
from features.support.loop import LOCAL, RawPeer
from features.support.sidecar import REPORT, SEALED, ExchangeHarness, ScriptedHome
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank.sidecar.links.messages import (
    Answer,
    AnswerPart,
    Commit,
    Failed,
    Granted,
)
from flamingobank.sidecar.shutdown import Shutdown

GRACE_S = 6.0
STEP_S = 0.02
REQUEST = (
    b"%s /a/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r%d\r\n"
    b"Content-Length: 0\r\nDeadline-Milliseconds: %d\r\n\r\n"
)


class StoppingCaller:
    """A caller that sends one request and reads until its connection ends."""

    def __init__(self, harness, number, method, budget_s):
        self.peer = RawPeer(harness.server.address)
        self.sent_at = harness.now
        self.answered_at = None
        self.peer.send(REQUEST % (method, number, round(1000 * budget_s)))

    @property
    def status(self):
        """Return the status of the answer, None without one."""
        if b"\r\n\r\n" not in self.peer.received:
            return None
        return int(self.peer.received.split()[1])

    def poll(self, now):
        """Read what has arrived."""
        self.peer.poll()
        if self.answered_at is None and self.status is not None:
            self.answered_at = now


class WorkingHome(ScriptedHome):
    """A home whose server answers every request after some work."""

    def send(self, message):
        """React to offers and requests as the harness says."""
        if isinstance(message, Commit):
            self.commits.append(message)
            if message.request_id in self.harness.broken_streams:
                self.break_off(message.stream)
                return
            if message.request_id in self.harness.streamed:
                self.stream(message.stream, *self.harness.streamed[message.request_id])
                return
            answer = Answer(
                message.stream, 200, SEALED, self.harness.body, True, REPORT
            )
            self.reply(answer, self.harness.choose_work_s(message.request_id))
            return
        self.react_to_offer(message.stream, self.harness.offer_reaction)
        if self.harness.offer_reaction == "queue" and self.harness.slot_after_s:
            self.reply(Granted(message.stream), self.harness.slot_after_s)

    def stream(self, stream, head_s, end_s):
        """Send the head of an answer after some seconds, and its end after others."""
        headers = [(b"server-seal", b"s"), (b"content-length", b"8")]
        self.reply(Answer(stream, 200, headers, b"part", False, REPORT), head_s)
        self.reply(AnswerPart(stream, b"last", True), end_s)

    def break_off(self, stream):
        """Stream a part of an answer, and then no more."""
        headers = [(b"server-seal", b"s"), (b"content-length", b"100")]
        self.reply(Answer(stream, 200, headers, b"part", False, REPORT))
        self.reply(AnswerPart(stream, b"part", False), 0.1)
        failure = Failed(stream, False, True, "answer broke off midway", REPORT)
        self.reply(failure, 0.2)


class StoppingHarness(ExchangeHarness):
    """An entry with working homes, its HTTP server and its shutdown."""

    home_class = WorkingHome

    def __init__(self, kind, homes, **route_fields):
        super().__init__(kind, [[]] * homes, **route_fields)
        self.offer_reaction = "grant"
        self.body = b"ok"
        # The requests whose answers break off while they are streamed.
        self.broken_streams = set()
        # The requests whose answers are streamed, with the times of head and end.
        self.streamed = {}
        # Seconds after which a queued request gets a slot, 0 for never.
        self.slot_after_s = 0.0
        self.choose_work_s = lambda request_id: 0.001
        loop = self.loop
        self.home = HomeHarness("never answers", loop).home
        self.server = HttpServer(
            loop.poller,
            loop.timers,
            loop.clock,
            LOCAL,
            RequestLimits,
            self.entry.take,
        )
        self.ended_at = None
        self.shutdown = Shutdown(
            loop.clock,
            loop.timers,
            EventLog("own"),
            self.entry,
            self.home,
            self.server,
            self._end_process,
        )
        self.stopped_at = None
        self.callers = []

    @property
    def now(self):
        """Return the virtual time."""
        return self.loop.clock.now()

    def _end_process(self):
        if self.ended_at is not None:
            return
        self.ended_at = self.now
        # The kernel closes the sockets of a process that has ended.
        for connection in list(self.server.connections):
            connection.connection.close("the process has ended")

    def stop(self):
        """Begin the shutdown as SIGTERM does."""
        self.stopped_at = self.now
        self.shutdown.begin(GRACE_S)

    def call(self, method, budget_s):
        """Send a request on a new connection."""
        caller = StoppingCaller(self, len(self.callers) + 1, method, budget_s)
        self.callers.append(caller)
        return caller

    def advance(self, seconds):
        """Let virtual time pass, and callers read."""
        for _ in range(round(seconds / STEP_S)):
            self.loop.advance(STEP_S, turns=2)
            for caller in self.callers:
                caller.poll(self.now)
