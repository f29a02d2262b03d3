"""Exchange messages with one peer over one TCP connection."""

import abc
from collections.abc import Callable

from flamingobank.core import InvariantError
from flamingobank.loop import Connection, ConnectionHandler
from flamingobank.sidecar.decisions.memory_account import (
    SMALL_REQUEST_BYTES,
    MemoryAccount,
)
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.codec import MessageReader, pack_pieces
from flamingobank.sidecar.links.messages import (
    PROTOCOL_VERSION,
    TYPE_REVISIONS,
    Hello,
    Message,
    Ping,
    Pong,
    parse_revision,
)


class PeerObserver(abc.ABC):
    """Receive the messages and the end of channels."""

    @abc.abstractmethod
    def on_peer_message(self, channel: "MessageChannel", message: Message) -> None:
        """Handle a message other than Hello and Ping."""

    @abc.abstractmethod
    def on_channel_closed(self, channel: "MessageChannel") -> None:
        """Handle the end of a channel's connection."""


class MessageChannel(ConnectionHandler):
    """Encode and decode messages on one connection."""

    # A body in a received message is a copy of its own.
    holds_bodies = True

    def __init__(self, observer: PeerObserver, event_log: EventLog) -> None:
        self.peer = ""
        self.peer_boot = ""
        # The revision of the messages that the peer understands.
        self.peer_revision = 1
        self.closed = False
        # Bytes that have arrived since the last whole message.
        self.pending_bytes = 0
        self._observer = observer
        self._event_log = event_log
        self._reader = MessageReader()
        self._connection: Connection | None = None
        # The account that counts a message that is arriving; None if none does.
        self._memory: MemoryAccount | None = None
        self._counted_bytes = 0
        # Called when there is no room for the messages that are arriving.
        self.on_no_room: Callable[[], None] = lambda: None

    def attach(self, connection: Connection) -> None:
        """Set the connection that carries the messages."""
        self._connection = connection
        connection.limit_unsent_output()

    def use_account(self, memory: MemoryAccount) -> None:
        """Count messages that are arriving in an account."""
        self._memory = memory

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that are queued for sending."""
        return 0 if self.closed else self._connection.output_bytes

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes that the peer's side has accepted."""
        return self._connection.sent_bytes

    def send(self, message: Message) -> None:
        """Send a message; a closed channel discards it, or one the peer cannot read."""
        if self.peer_revision < TYPE_REVISIONS.get(type(message), 1):
            return
        if not self.closed:
            for piece in pack_pieces(message, self.peer_revision):
                self._connection.write(piece)

    def close(self, reason: str) -> None:
        """Close the connection and report the reason."""
        self._connection.close(reason)

    def on_connected(self) -> None:
        """Do nothing: the connection queues messages sent before it is open."""

    def on_data(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except ValueError as error:
            self._event_log.warn("link:malformed", peer=self.peer, error=str(error))
            self.close("malformed message")
            return
        self.pending_bytes = 0 if messages else self.pending_bytes + len(data)
        if self._memory is not None and self.pending_bytes != self._counted_bytes:
            self._count_pending(self._memory)
        for message in messages:
            if self.closed:
                return
            self._receive_safely(message)

    def _count_pending(self, memory: MemoryAccount) -> None:
        """Count a message that is arriving, unless it is small."""
        pending_bytes = self.pending_bytes
        if pending_bytes <= SMALL_REQUEST_BYTES:
            pending_bytes = 0
        memory.link_input.bytes += pending_bytes - self._counted_bytes
        self._counted_bytes = pending_bytes
        if pending_bytes and memory.is_shared_full:
            self.on_no_room()

    def _receive_safely(self, message: Message) -> None:
        """Handle a message; an error in it must not lose those of other requests."""
        try:
            self.receive(message)
        except InvariantError:
            raise
        except Exception as error:
            self._event_log.exception("link:exception", error, peer=self.peer)

    def on_closed(self, reason: str) -> None:
        self.closed = True
        if self._memory is not None:
            self._memory.link_input.bytes -= self._counted_bytes
            self._counted_bytes = 0
        self._observer.on_channel_closed(self)

    def receive(self, message: Message) -> None:
        """Handle Hello and Ping, and pass other messages to the observer."""
        if isinstance(message, Hello):
            if message.protocol != PROTOCOL_VERSION:
                self.close(
                    f"peer speaks protocol version {message.protocol}, "
                    f"expected {PROTOCOL_VERSION}"
                )
                return
            self.peer = message.node
            self.peer_boot = message.boot
            self.peer_revision = parse_revision(message.boot)
            self.on_hello()
            return
        if isinstance(message, Ping):
            self.send(Pong())
            return
        self._observer.on_peer_message(self, message)

    def on_hello(self) -> None:
        """Handle a Hello message of a peer with the same protocol version."""


class AcceptedChannel(MessageChannel):
    """Serve a connection that a peer opened."""

    def __init__(
        self, observer: PeerObserver, event_log: EventLog, hello: Hello
    ) -> None:
        super().__init__(observer, event_log)
        self._hello = hello

    def use_account(self, memory: MemoryAccount) -> None:
        # What an outgoing link has queued are the requests of callers, which count
        # already, and a large body is not copied.
        super().use_account(memory)
        self._connection.tally = memory.link_output

    def on_hello(self) -> None:
        """Answer with the Hello message of this process."""
        self.send(self._hello)
