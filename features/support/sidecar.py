"""Run an entry of a sidecar against scripted homes, without a network."""

import random

from features.steps.sidecar_decisions_steps import make_record, make_route
from features.support.loop import TestLoop
from flamingobank.core import FailureDomain, ServiceName, VirtualClock
from flamingobank.platform.headers import PlatformDialect
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter, RetryBudget
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind, RoutingTable
from flamingobank.sidecar.links.messages import (
    Answer,
    Commit,
    Failed,
    Granted,
    HomeReport,
    Offer,
    Queued,
    Refused,
)
from flamingobank.sidecar.metrics import SidecarMetrics

REPORT = HomeReport("orders", 0.05, 0, 0, 4, True)
FAILURE_DOMAINS = ("graz-a", "graz-b", "leoben", "kapfenberg", "bruck", "weiz")
SEALED = [(b"server-seal", b"s"), (b"content-length", b"2")]


class ScriptedHome:
    """A replacement for the link to a home that reacts according to a script.

    A script lists the reactions to successive offers: "grant", "queue", "silent" or a
    refusal reason. A grant is followed by the reaction to the request: a status,
    "not-run", "unknown", "lost", "restarted" or "hang".
    """

    def __init__(self, harness, node, script):
        self.harness = harness
        self.node = node
        self.script = list(script)
        self.handlers = {}
        self.commits = []
        # The scripted reaction to each of these commits.
        self.request_reactions = []
        self.cancelled_streams = []
        self.is_usable = True
        self.has_backlog = False
        self.may_answer = False
        self.offer_timeout_s = 0.07
        self.peer_revision = 2

    def open_stream(self, stream, handler):
        """Register the handler of a request."""
        self.handlers[stream] = handler

    def close_stream(self, stream):
        """Remove the handler of a request."""
        self.handlers.pop(stream, None)

    def suspect(self):
        """Mark the link as unusable for offers."""
        self.is_usable = False

    def send_if_up(self, message):
        """Record the stream of a cancellation, the only message sent this way."""
        self.cancelled_streams.append(message.stream)

    def send(self, message):
        """React to an offer or a request according to the script."""
        if isinstance(message, Offer):
            reaction = self.script.pop(0) if self.script else "busy"
            self.react_to_offer(message.stream, reaction)
        elif isinstance(message, Commit):
            self.commits.append(message)
            self.request_reactions.append(self.script.pop(0))
            self.react_to_request(message.stream, self.request_reactions[-1])

    def react_to_offer(self, stream, reaction):
        """Answer an offer a millisecond later, unless the reaction is "silent"."""
        if reaction == "silent":
            return
        if reaction == "queue":
            self.reply(Queued(stream))
            return
        if reaction == "grant":
            self.reply(Granted(stream))
            return
        self.reply(Refused(stream, reaction, REPORT))

    def react_to_request(self, stream, reaction):
        """Answer a request or break the link to the home, a millisecond later.

        After "hang" nothing happens.
        """
        if isinstance(reaction, int):
            self.reply(Answer(stream, reaction, SEALED, b"ok", True, REPORT))
        elif reaction == "not-run":
            self.reply(Failed(stream, True, True, "shed", REPORT))
        elif reaction == "unknown":
            self.reply(Failed(stream, False, True, "reset", REPORT))
        elif reaction == "restarted":
            self.call_later(lambda: self.handlers[stream].on_home_restarted())
        elif reaction == "lost":
            self.call_later(lambda: self.handlers[stream].on_link_lost())
            self.reply(Refused(stream, "never-received", REPORT))

    def reply(self, message, delay_s=0.001):
        """Deliver a message to the stream's handler, mostly a millisecond later."""

        def deliver():
            handler = self.handlers.get(message.stream)
            if handler is not None:
                handler.on_message(message)

        self.call_later(deliver, delay_s)

    def call_later(self, callback, delay_s=0.001):
        """Run a callback, mostly a millisecond later."""
        self.harness.loop.timers.call_at(
            self.harness.loop.clock.now() + delay_s, callback
        )


class RecordingRequest:
    """A replacement for a caller's request that records its answers."""

    def __init__(self, now, kind):
        self.method = "POST" if kind is RouteKind.UNSAFE else "GET"
        self.target = b"/a/x"
        self.headers = [
            (b"host", b"x.example"),
            (b"request-id", b"r1"),
            (b"deadline-milliseconds", b"2000"),
        ]
        self.body = b""
        self.read_at = now
        self.watcher = None
        self.answers = []
        self.aborted = False

    def get_header(self, name):
        """Return a header as text."""
        return dict(self.headers).get(name, b"").decode()

    def answer(self, status, headers, body):
        """Record a final answer."""
        self.answers.append((status, dict(headers), body))

    def abort(self):
        """Record that the answer was aborted."""
        self.aborted = True


class ExchangeHarness:
    """An entry with its scripted homes and one request."""

    home_class = ScriptedHome

    def __init__(
        self, kind, scripts, max_attempts=2, retries=100.0, seed=1, **route_fields
    ):
        self.loop = TestLoop(VirtualClock(100.0))
        self.homes = {}
        peers = PeerTable(make_record("own", host="10.0.0.1", serving=False))
        self.peers = peers
        for number, script in enumerate(scripts):
            node = f"h{number}"
            domain = FAILURE_DOMAINS[number % 6] if len(scripts) > 24 else "graz-a"
            record = make_record(
                node, host=f"10.0.1.{number}", failure_domain=FailureDomain(domain)
            )
            peers.merge(record, 0.0)
            self.homes[node] = self.home_class(self, node, script)
        share = RetryBudget(0.0, retries, 10.0)
        self.entry = Entry(
            self.loop.clock,
            self.loop.timers,
            random.Random(seed),
            PlatformDialect(),
            EventLog("own"),
            SidecarMetrics({"node": "own"}),
            peers,
            share,
            RepeatedRunLimiter(share, lambda: 1),
            CrashReports(self.loop.clock, EventLog("own")),
            ServiceName("orders"),
        )
        self.entry.get_link = self.homes.__getitem__
        route = make_route(kind=kind, max_attempts=max_attempts, **route_fields)
        self.entry.table = RoutingTable(
            1, (route,), frozenset(["orders"]), RequestLimits()
        )
        self.request = RecordingRequest(self.loop.clock.now(), kind)

    def run(self, seconds=4.0):
        """Pass the request to the entry and advance time until it is answered."""
        self.entry.take(self.request)
        for _ in range(int(seconds / 0.01)):
            self.loop.advance(0.01, turns=1)
            if self.request.answers:
                break
        return self

    @property
    def commits(self):
        """Return the node IDs of the homes that got the request, once per commit."""
        return [node for node, home in self.homes.items() for _ in home.commits]

    @property
    def final(self):
        """Return the status of the answer; there must be exactly one."""
        assert len(self.request.answers) == 1, self.request.answers
        return self.request.answers[0][0]
