"""Exchange messages between nodes over authenticated TCP connections."""

import abc
import socket
from collections.abc import Callable, Sequence

import eliot

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    Connection,
    ConnectionHandler,
    Listener,
    Poller,
    Timers,
    connect,
)
from flamingobank.wire import (
    FrameDecoder,
    FrameEncoder,
    FrameError,
    Handshake,
    HandshakeError,
    Message,
    MessageError,
    pack_message,
    unpack_message,
)

CONNECT_TIMEOUT_S = 1.0
# A link without open streams on which nothing was sent for this long is closed.
# Otherwise, at the design scale, a node would keep a link to every other node.
IDLE_TIMEOUT_S = 30.0
# A link whose queued output has not been sent for this long works in one direction only
# and is closed.
STALL_TIMEOUT_S = 2.0
CONTROL_STREAM = 0


class StreamHandler(abc.ABC):
    """Receive the messages of one stream of a link, and the end of the link."""

    @abc.abstractmethod
    def on_message(self, message: Message) -> None:
        """Handle a message of the peer."""

    @abc.abstractmethod
    def on_link_closed(self, reason: str) -> None:
        """Handle the end of the link."""


class LinkObserver(abc.ABC):
    """Receive the messages of links that belong to no open stream."""

    @abc.abstractmethod
    def on_control_message(self, link: "Link", message: Message) -> None:
        """Handle a message without a stream."""

    @abc.abstractmethod
    def on_stream_message(self, link: "Link", stream: int, message: Message) -> None:
        """Handle a message of a stream that has no handler."""

    @abc.abstractmethod
    def on_link_refused(self, peer: str, reason: str) -> None:
        """Count a connection that was closed because its peer sent invalid data."""


class Link(ConnectionHandler):
    """Perform the handshake with one peer, then exchange messages with it."""

    def __init__(
        self,
        observer: LinkObserver,
        handshake: Handshake,
        clock: Clock,
        on_closed: Callable[["Link", str], None],
    ) -> None:
        self.peer = ""
        self.ready = False
        self.closed = False
        self.was_ready = False
        self.last_used_at = clock.now()
        self.stalled_since: float | None = None
        self._observer = observer
        self._handshake: Handshake | None = handshake
        self._clock = clock
        self._on_closed = on_closed
        self._connection: Connection | None = None
        self._encoder: FrameEncoder | None = None
        self._decoder: FrameDecoder | None = None
        self._streams: dict[int, StreamHandler] = {}
        self._next_stream = 1
        self._unsent: list[tuple[int, Message]] = []

    def attach(self, connection: Connection) -> None:
        """Set the connection that carries the messages."""
        self._connection = connection

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that are queued for sending."""
        return self._connection.output_bytes

    def open_stream(self, handler: StreamHandler) -> int:
        """Register the handler of a new stream and return the stream's number."""
        stream = self._next_stream
        self._next_stream += 1
        self._streams[stream] = handler
        return stream

    def accept_stream(self, stream: int, handler: StreamHandler) -> None:
        """Register the handler of a stream that the peer opened."""
        self._streams[stream] = handler

    def close_stream(self, stream: int) -> None:
        """Remove the handler of a stream."""
        self._streams.pop(stream, None)

    def send(self, stream: int, message: Message) -> None:
        """Send a message, or queue it until the handshake is done.

        A closed link discards it.
        """
        if self.closed:
            return
        self.last_used_at = self._clock.now()
        if not self.ready:
            self._unsent.append((stream, message))
            return
        kind, fields = pack_message(message)
        self._connection.write(self._encoder.encode(kind, stream, fields))

    def close(self, reason: str) -> None:
        """Close the link and report the reason."""
        self._connection.close(reason)

    def check(self, now: float) -> None:
        """Close the link if it is idle or its peer reads no data."""
        if self._connection.output_bytes == 0:
            self.stalled_since = None
        elif self.stalled_since is None:
            self.stalled_since = now
        if (
            self.stalled_since is not None
            and now > self.stalled_since + STALL_TIMEOUT_S
        ):
            self.close("peer takes no output")
            return
        if not self._streams and now > self.last_used_at + IDLE_TIMEOUT_S:
            self.close("idle")

    def on_connected(self) -> None:
        self._connection.write(self._handshake.start())

    def on_data(self, data: bytes) -> None:
        if self._handshake is not None:
            self._continue_handshake(data)
            return
        frames = self._decoder.feed(data)
        if isinstance(frames, FrameError):
            self._refuse(frames.reason)
            return
        for kind, stream, fields in frames:
            message = unpack_message(kind, fields)
            if isinstance(message, MessageError):
                self._refuse(message.reason)
                return
            try:
                self._deliver(stream, message)
            except ValueError as error:
                # A newer or a hostile peer sent a message that its receiver cannot
                # accept, such as one with an unknown enumeration value.
                self._refuse(str(error))
                return
            if self.closed:
                return

    def on_closed(self, reason: str) -> None:
        self.closed = True
        self.ready = False
        streams = list(self._streams.values())
        self._streams.clear()
        self._on_closed(self, reason)
        for handler in streams:
            handler.on_link_closed(reason)

    def on_drained(self) -> None:
        self.stalled_since = None

    def _deliver(self, stream: int, message: Message) -> None:
        if stream == CONTROL_STREAM:
            self._observer.on_control_message(self, message)
            return
        handler = self._streams.get(stream)
        if handler is not None:
            handler.on_message(message)
            return
        self._observer.on_stream_message(self, stream, message)

    def _continue_handshake(self, data: bytes) -> None:
        step = self._handshake.feed(data)
        if step is None:
            return
        if isinstance(step, HandshakeError):
            self._refuse(step.reason)
            return
        if step.output:
            self._connection.write(step.output)
        session = step.session
        if session is None:
            return
        self._handshake = None
        self.peer = session.peer
        self._encoder = FrameEncoder(session.send_key)
        self._decoder = FrameDecoder(session.receive_key)
        self.ready = True
        self.was_ready = True
        unsent = self._unsent
        self._unsent = []
        for stream, message in unsent:
            self.send(stream, message)
        if session.rest:
            self.on_data(session.rest)

    def _refuse(self, reason: str) -> None:
        self._observer.on_link_refused(self._connection.peer, reason)
        self.close(reason)


class LinkPool:
    """Hold one outgoing link to each peer in use, and the accepted links."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        node_id: str,
        boot: str,
        secrets: Callable[[], Sequence[bytes]],
        observer: LinkObserver,
    ) -> None:
        self._poller = poller
        self._timers = timers
        self._clock = clock
        self._node_id = node_id
        self._boot = boot
        self._secrets = secrets
        self._observer = observer
        self._outgoing: dict[Address, Link] = {}
        self._accepted: set[Link] = set()
        self._listener: Listener | None = None
        timers.call_every(1.0, self._check_links)

    def listen(self, address: Address) -> None:
        """Accept links of peers."""
        self._listener = Listener(self._poller, address, self._accept)

    def get(self, address: Address) -> Link:
        """Return the outgoing link to a peer, connecting if there is none."""
        link = self._outgoing.get(address)
        if link is not None:
            return link
        handshake = Handshake(
            self._node_id, self._boot, self._secrets(), initiator=True
        )
        link = Link(
            self._observer,
            handshake,
            self._clock,
            lambda link, reason: self._on_outgoing_closed(address, link, reason),
        )
        self._outgoing[address] = link
        link.attach(connect(self._poller, address, link))
        self._timers.call_at(
            self._clock.now() + CONNECT_TIMEOUT_S,
            lambda: None if link.ready or link.closed else link.close("no handshake"),
        )
        return link

    @property
    def count(self) -> int:
        """Return the number of open links."""
        return len(self._outgoing) + len(self._accepted)

    def _accept(self, sock: socket.socket) -> None:
        handshake = Handshake(
            self._node_id, self._boot, self._secrets(), initiator=False
        )
        link = Link(self._observer, handshake, self._clock, self._on_accepted_closed)
        link.attach(Connection(self._poller, sock, link, connecting=False))
        self._accepted.add(link)
        self._timers.call_at(
            self._clock.now() + CONNECT_TIMEOUT_S,
            lambda: None if link.ready or link.closed else link.close("no handshake"),
        )

    def _on_outgoing_closed(self, address: Address, link: Link, reason: str) -> None:
        if self._outgoing.get(address) is link:
            del self._outgoing[address]
        eliot.log_message(
            message_type="links:closed", peer=f"{address[0]}:{address[1]}", why=reason
        )

    def _on_accepted_closed(self, link: Link, reason: str) -> None:
        self._accepted.discard(link)

    def _check_links(self) -> None:
        now = self._clock.now()
        for link in [*self._outgoing.values(), *self._accepted]:
            link.check(now)
