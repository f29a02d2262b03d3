"""Exchange messages with one peer on one connection."""

import abc

from flamingobank.loop import Connection, ConnectionHandler
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.messages import (
    PROTOCOL_VERSION,
    Hello,
    Message,
    MessageReader,
    Ping,
    Pong,
    pack_message,
)


class PeerObserver(abc.ABC):
    """Receive the messages of links that belong to no request."""

    @abc.abstractmethod
    def on_peer_message(self, channel: "MessageChannel", message: Message) -> None:
        """React to a message."""

    @abc.abstractmethod
    def on_channel_closed(self, channel: "MessageChannel") -> None:
        """React to the end of an accepted connection."""


class MessageChannel(ConnectionHandler):
    """Exchange messages on one connection."""

    def __init__(self, observer: PeerObserver, event_log: EventLog) -> None:
        self.peer = ""
        self.peer_boot = ""
        self.closed = False
        self._observer = observer
        self._event_log = event_log
        self._reader = MessageReader()
        self._connection: Connection | None = None

    def attach(self, connection: Connection) -> None:
        """Use a connection."""
        self._connection = connection

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return 0 if self.closed else self._connection.output_bytes

    def send(self, message: Message) -> None:
        """Send a message; a closed channel drops it."""
        if not self.closed:
            self._connection.write(pack_message(message))

    def close(self, reason: str) -> None:
        """Close the connection."""
        self._connection.close(reason)

    def on_connected(self) -> None:
        """React to a connection that can carry data."""

    def on_data(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except ValueError as error:
            self._event_log.warn("link:malformed", peer=self.peer, error=str(error))
            self.close("malformed message")
            return
        for message in messages:
            if self.closed:
                return
            self.receive(message)

    def on_closed(self, reason: str) -> None:
        self.closed = True
        self._observer.on_channel_closed(self)

    def receive(self, message: Message) -> None:
        """React to one message."""
        if isinstance(message, Hello):
            if message.protocol != PROTOCOL_VERSION:
                self.close(f"protocol {message.protocol} is not {PROTOCOL_VERSION}")
                return
            self.peer = message.node
            self.peer_boot = message.boot
            self.on_hello()
            return
        if isinstance(message, Ping):
            self.send(Pong())
            return
        self._observer.on_peer_message(self, message)

    def on_hello(self) -> None:
        """React to the peer's introduction."""


class AcceptedChannel(MessageChannel):
    """Answer the introduction of a peer that connected."""

    def __init__(
        self, observer: PeerObserver, event_log: EventLog, hello: Hello
    ) -> None:
        super().__init__(observer, event_log)
        self._hello = hello

    def on_hello(self) -> None:
        """Introduce this process in turn."""
        self.send(self._hello)
