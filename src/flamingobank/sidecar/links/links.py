"""Connect sidecars over TCP, and reconnect after the loss of a connection."""

import abc
import enum
import random
import socket
from collections.abc import Callable, Iterator

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    Connection,
    Listener,
    Poller,
    Timers,
    connect,
)
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.channels import (
    AcceptedChannel,
    MessageChannel,
    PeerObserver,
)
from flamingobank.sidecar.links.messages import (
    Hello,
    Message,
    Ping,
    Resume,
    parse_revision,
)

# Opening a connection takes two round trips, which last a few milliseconds between
# failure domains. TCP retransmits a lost SYN only after a second, so an attempt whose
# SYN was lost is given up before that.
CONNECT_TIMEOUT_S = 0.4
# A link with open streams sends a ping after PING_AFTER_S without input, and closes
# its connection after SILENCE_TIMEOUT_S.
PING_AFTER_S = 0.3
SILENCE_TIMEOUT_S = 0.9
# After an offer without a response, the peer has this long to send anything before
# the connection is closed.
PROBE_TIMEOUT_S = 0.5
# With more than this queued, an offer may wait for its own link and not for its home.
BACKLOG_BYTES = 262_144
CHECK_INTERVAL_S = 0.1
# An offer times out after OFFER_TIMEOUT_FACTOR times the smoothed response time of its
# home. The response time includes the delays of both machines, which may be slow, and
# not only that of the network.
MIN_OFFER_TIMEOUT_S = 0.07
MAX_OFFER_TIMEOUT_S = 0.35
INITIAL_RESPONSE_TIME_S = 0.03
OFFER_TIMEOUT_FACTOR = 5
RESPONSE_TIME_SMOOTHING = 0.25
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0


class LinkState(enum.Enum):
    """State of a link's connection."""

    IDLE = "idle"
    CONNECTING = "connecting"
    UP = "up"


class StreamHandler(abc.ABC):
    """Receive the messages and link events of one request that was sent to a home."""

    @abc.abstractmethod
    def on_message(self, message: Message) -> None:
        """Handle a message of the home."""

    @abc.abstractmethod
    def on_link_lost(self) -> bool:
        """Handle a lost connection; return whether the outcome is still needed."""

    @abc.abstractmethod
    def on_home_restarted(self) -> None:
        """Handle the restart of the home, which lost its state of the request."""


class Link(PeerObserver):
    """Keep a connection to one peer; reconnects while requests wait for an outcome."""

    def __init__(self, links: "LinkPool", address: Address) -> None:
        self.address = address
        self.state = LinkState.IDLE
        self.handlers: dict[int, StreamHandler] = {}
        self.retry_at = 0.0
        # The last connection failed, or the peer did not respond on it. Only check()
        # finds out whether the peer is back; no caller's request is used for that.
        self.failed = False
        # When the peer's machine refused the last connection, as no process ran there;
        # None if it did not.
        self.refused_at: float | None = None
        self.peer_boot = ""
        self.last_data_at = 0.0
        self._links = links
        self._channel: OutgoingChannel | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._unsent: list[Message] = []
        self._connect_deadline = 0.0
        self._ping_sent = False
        self._probe_deadline = 0.0
        self._offered_at: dict[int, float] = {}
        # What had been sent on the current connection at the last check.
        self._sent_bytes = 0
        self._backlog_at = float("-inf")
        self._response_time_s = INITIAL_RESPONSE_TIME_S

    @property
    def peer_revision(self) -> int:
        """Return the revision that the peer stated last, 1 before the first answer."""
        return parse_revision(self.peer_boot)

    @property
    def offer_timeout_s(self) -> float:
        """Return how long an offer waits for a response."""
        offer_timeout_s = OFFER_TIMEOUT_FACTOR * self._response_time_s
        return min(MAX_OFFER_TIMEOUT_S, max(MIN_OFFER_TIMEOUT_S, offer_timeout_s))

    @property
    def may_answer(self) -> bool:
        """Return whether a connection is open, even if the peer does not respond."""
        return self.state is LinkState.UP

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be offered over this link."""
        return not self.failed

    @property
    def has_backlog(self) -> bool:
        """Return whether messages wait behind a large one, or did a moment ago.

        What the socket has accepted is still on its way to the peer.
        """
        now = self._links.clock.now()
        if self._channel is not None and self._channel.output_bytes > BACKLOG_BYTES:
            self._backlog_at = now
        return now < self._backlog_at + MAX_OFFER_TIMEOUT_S

    def suspect(self) -> None:
        """Send no offers over this link until data arrives from the peer."""
        if self.state is LinkState.UP and not self.failed:
            self.failed = True
            self._links.watch(self)
            self._probe_deadline = self._links.clock.now() + PROBE_TIMEOUT_S
            self._channel.send(Ping())

    def replace_if_silent(self, since: float) -> bool:
        """Close a connection without requests on which nothing arrived since a time.

        Returns whether it was closed; the next message opens another one.
        """
        if self.state is not LinkState.UP or self.last_data_at >= since:
            return False
        if self.handlers:
            # Open requests may only be slow, so the peer gets time for a sign of life.
            self.suspect()
            return False
        self.close("silent")
        return True

    def open_stream(self, stream: int, handler: StreamHandler) -> None:
        """Register the handler for the messages of one request."""
        if not self.handlers:
            self.last_data_at = self._links.clock.now()
            self._ping_sent = False
            self._links.watch(self)
        self.handlers[stream] = handler
        self._offered_at[stream] = self._links.clock.now()

    def close_stream(self, stream: int) -> None:
        """Remove the handler of a request."""
        self.handlers.pop(stream, None)

    def send(self, message: Message) -> None:
        """Send a message, after connecting if the link has no connection."""
        if self.state is LinkState.UP:
            self._channel.send(message)
            return
        self._unsent.append(message)
        if self.state is LinkState.IDLE:
            self.connect()

    def send_if_up(self, message: Message) -> None:
        """Send a message if the link is connected, and discard it otherwise."""
        if self.state is LinkState.UP:
            self._channel.send(message)

    def close(self, reason: str) -> None:
        """Close the current connection, if there is one."""
        if self._channel is not None:
            self._channel.close(reason)

    def connect(self) -> None:
        """Start a connection attempt and queue the Hello message on it."""
        now = self._links.clock.now()
        self.state = LinkState.CONNECTING
        self._links.watch(self)
        self._connect_deadline = now + CONNECT_TIMEOUT_S
        self._channel = OutgoingChannel(self, self._links.event_log)
        self._channel.attach(connect(self._links.poller, self.address, self._channel))
        self._channel.use_account(self._links.memory)
        self._channel.send(self._links.hello)

    @property
    def needs_checks(self) -> bool:
        """Return whether check() may have something to do."""
        return bool(self.handlers or self.failed or self.state is LinkState.CONNECTING)

    @property
    def is_unused(self) -> bool:
        """Return whether there is neither a connection nor an open request."""
        return self.state is LinkState.IDLE and not self.handlers

    def check(self, now: float) -> None:
        """Apply the timeouts, and reconnect if requests wait or the link failed."""
        if self.state is LinkState.CONNECTING and now > self._connect_deadline:
            self._channel.close("connection attempt timed out")
            return
        if self.state is LinkState.IDLE:
            if (self.handlers or self.failed) and now >= self.retry_at:
                self.connect()
            return
        if self.state is not LinkState.UP:
            return
        self._note_sent(now)
        if self.failed and now > self._probe_deadline:
            self._channel.close("silent")
            return
        if not self.handlers:
            return
        silence_s = now - self.last_data_at
        if silence_s > SILENCE_TIMEOUT_S:
            self._channel.close("silent")
            return
        if silence_s > PING_AFTER_S and not self._ping_sent:
            self._ping_sent = True
            self._channel.send(Ping())

    def _note_sent(self, now: float) -> None:
        """Take the progress of a large message for a sign of life.

        The peer answers a ping behind it only when the message has arrived.
        """
        sent_bytes, output_bytes = self._channel.sent_bytes, self._channel.output_bytes
        if output_bytes > BACKLOG_BYTES:
            self._backlog_at = now
        if sent_bytes != self._sent_bytes and output_bytes:
            self.last_data_at = now
            self._probe_deadline = now + PROBE_TIMEOUT_S
        self._sent_bytes = sent_bytes

    def on_handshake_done(self, channel: "OutgoingChannel") -> None:
        """Resume the open streams and send queued messages after the peer's Hello."""
        now = self._links.clock.now()
        restarted = bool(self.peer_boot) and self.peer_boot != channel.peer_boot
        self.peer_boot = channel.peer_boot
        self.state = LinkState.UP
        self.refused_at = None
        self.last_data_at = now
        self._ping_sent = False
        self._backoff_s = INITIAL_BACKOFF_S
        self.failed = False
        open_streams = list(self.handlers.items())
        unsent = self._unsent
        self._unsent = []
        unsent_streams = {getattr(message, "stream", None) for message in unsent}
        for stream, handler in open_streams:
            if stream in unsent_streams:
                continue
            if restarted:
                self.handlers.pop(stream, None)
                handler.on_home_restarted()
                continue
            channel.send(Resume(stream))
        for message in unsent:
            channel.send(message)

    def note_closed(self, reason: str) -> None:
        """Record whether a connection was closed because no process runs there."""
        is_refused = reason.endswith("ECONNREFUSED")
        self.refused_at = self._links.clock.now() if is_refused else None

    def on_data_received(self) -> None:
        """Record that the peer is alive."""
        self.last_data_at = self._links.clock.now()
        self._ping_sent = False
        if self.state is LinkState.UP:
            self.failed = False

    def on_peer_message(self, channel: MessageChannel, message: Message) -> None:
        stream = getattr(message, "stream", None)
        if stream is None:
            self._links.observer.on_control_message(self, message)
            return
        offered_at = self._offered_at.pop(stream, None)
        if offered_at is not None:
            # Responses after the timeout count as well; without them the offer timeout
            # would never grow.
            sample_s = self._links.clock.now() - offered_at
            self._response_time_s += RESPONSE_TIME_SMOOTHING * (
                sample_s - self._response_time_s
            )
        handler = self.handlers.get(stream)
        if handler is not None:
            handler.on_message(message)

    def on_channel_closed(self, channel: MessageChannel) -> None:
        now = self._links.clock.now()
        was_up = self.state is LinkState.UP
        self.state = LinkState.IDLE
        self.failed = True
        self._links.watch(self)
        self._channel = None
        self._offered_at.clear()
        self._unsent.clear()
        if not was_up:
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
        jitter = self._links.rng.uniform(0.8, 1.2)
        self.retry_at = now + self._backoff_s * jitter
        self._links.event_log.event(
            "link:lost",
            address=f"{self.address[0]}:{self.address[1]}",
            was_up=was_up,
            open_requests=len(self.handlers),
        )
        for stream, handler in list(self.handlers.items()):
            if not handler.on_link_lost():
                self.handlers.pop(stream, None)


class OutgoingChannel(MessageChannel):
    """Report the events of a link's current connection to the link."""

    def __init__(self, link: Link, event_log: EventLog) -> None:
        super().__init__(link, event_log)
        self._link = link

    def on_hello(self) -> None:
        """Report the end of the handshake."""
        self._link.on_handshake_done(self)

    def on_data(self, data: bytes) -> None:
        self._link.on_data_received()
        super().on_data(data)

    def on_closed(self, reason: str) -> None:
        self._link.note_closed(reason)
        super().on_closed(reason)


class LinkObserver(abc.ABC):
    """Receive messages of outgoing links that belong to no request."""

    @abc.abstractmethod
    def on_control_message(self, link: Link, message: Message) -> None:
        """Handle a message without a stream."""


class LinkPool:
    """Hold one link to each peer in use, and accept connections of peers."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
        hello: Hello,
    ) -> None:
        self.poller = poller
        self.clock = clock
        self.rng = rng
        self.event_log = event_log
        self.hello = hello
        # Receives the messages of peers that belong to no request.
        self.observer: LinkObserver | None = None
        # Counts messages that are arriving and answers that wait to be sent.
        self.memory = MemoryAccount()
        # Returns whether an address is that of a peer that has not left.
        self.is_member: Callable[[Address], bool] = lambda address: True
        self._links: dict[Address, Link] = {}
        self.accepted: set[AcceptedChannel] = set()
        self._accept_observer: PeerObserver | None = None
        self._listener: Listener | None = None
        # Links with timeouts. The others, mostly idle ones, cost nothing.
        self._watched: set[Link] = set()
        self._check_scheduled = False
        self._timers = timers

    def listen(self, address: Address, observer: PeerObserver) -> Address:
        """Accept connections of peers; return the bound address."""
        self._accept_observer = observer
        self._listener = Listener(self.poller, address, self._accept)
        return self._listener.address

    def get(self, address: Address) -> Link:
        """Return the link to a peer, creating it on first use."""
        link = self._links.get(address)
        if link is None:
            link = Link(self, address)
            self._links[address] = link
        return link

    def find(self, address: Address) -> Link | None:
        """Return the link to a peer if there is one."""
        return self._links.get(address)

    def watch(self, link: Link) -> None:
        """Check a link until it needs no more checks."""
        self._watched.add(link)
        if not self._check_scheduled:
            self._check_scheduled = True
            self._timers.call_at(self.clock.now() + CHECK_INTERVAL_S, self._check)

    def list_links(self) -> Iterator[Address]:
        """Return the addresses of the peers that have a link."""
        return iter(self._links)

    def remove_accepted(self, channel: AcceptedChannel) -> None:
        """Remove an accepted channel that was closed."""
        self.accepted.discard(channel)

    def _accept(self, sock: socket.socket) -> None:
        channel = AcceptedChannel(self._accept_observer, self.event_log, self.hello)
        channel.attach(Connection(self.poller, sock, channel, connecting=False))
        channel.use_account(self.memory)
        channel.on_no_room = self._limit_input
        self.accepted.add(channel)

    def _limit_input(self) -> None:
        """Close links on which large messages arrive that find no room.

        One message always finds room, so that a large request is served in calm. A
        request whose message is cut off has not run, as its home tells its entry.
        """
        arriving = [channel for channel in self.accepted if channel.pending_bytes]
        arriving.sort(key=lambda channel: channel.pending_bytes)
        if len(arriving) > 1:
            channel = arriving[-2]
            self.event_log.warn(
                "link:no-memory", peer=channel.peer, arriving=channel.pending_bytes
            )
            channel.close("no memory for a message")

    def _check(self) -> None:
        self._check_scheduled = False
        now = self.clock.now()
        for link in list(self._watched):
            link.check(now)
            if link.is_unused and not self.is_member(link.address):
                self._links.pop(link.address, None)
                self._watched.discard(link)
            elif not link.needs_checks:
                self._watched.discard(link)
        if self._watched and not self._check_scheduled:
            self._check_scheduled = True
            self._timers.call_at(now + CHECK_INTERVAL_S, self._check)
