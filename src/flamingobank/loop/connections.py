"""Non-blocking TCP connections that call handlers directly.

The direct calls save a circuits event for each transfer.
"""

import abc
import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from flamingobank.loop.poller import HUNG_UP, READABLE, WRITABLE, Poller

RECEIVE_BYTES = 65536
# Queued pieces are joined up to this size; larger ones are sent as they are.
MAX_JOINED_BYTES = 65536
# What a socket holds beyond the bytes that are on their way, see limit_unsent_output.
MAX_UNSENT_BYTES = 131_072
PAUSED_RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 512
CLOSED_BY_PEER = "closed by peer"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RETRY_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)

Address = tuple[str, int]


class OutputTally(Protocol):
    """Running sum of the output that waits on several connections."""

    bytes: int


class ConnectionHandler(abc.ABC):
    """Handler of the events of a connection."""

    @abc.abstractmethod
    def on_connected(self) -> None:
        """Handle the establishment of the connection."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    @abc.abstractmethod
    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection; called once."""

    def on_drained(self) -> None:
        """Handle that all queued output has been sent."""
        return None


class Connection:
    """One TCP connection, which reports received bytes and its end to a handler."""

    __slots__ = (
        "_connect_error",
        "_connecting",
        "_fd",
        "_finish_queued",
        "_flush_queued",
        "_mask",
        "_output",
        "_output_bytes",
        "_poller",
        "_reading",
        "_sock",
        "close_when_drained",
        "closed",
        "handler",
        "sent_bytes",
        "tally",
    )

    def __init__(
        self,
        poller: Poller,
        sock: socket.socket,
        handler: ConnectionHandler,
        connecting: bool,
        connect_error: int = 0,
    ) -> None:
        self._poller = poller
        self._connect_error = connect_error
        self._sock = sock
        self._fd = sock.fileno()
        self._connecting = connecting
        self._reading = True
        self._output: list[bytes | memoryview] = []
        self._output_bytes = 0
        self._flush_queued = False
        self._finish_queued = False
        self._mask = WRITABLE if connecting else READABLE
        self.handler = handler
        self.closed = False
        # Bytes that the socket has accepted so far.
        self.sent_bytes = 0
        self.close_when_drained = False
        # Set to count the queued output together with that of other connections.
        self.tally: OutputTally | None = None
        poller.register_direct(self._fd, self._mask, self._on_ready)

    def limit_unsent_output(self) -> None:
        """Let the socket accept little more than the network takes.

        Otherwise it accepts megabytes at once and then nothing for seconds on a slow
        path, so that a slow peer looks like one that does not read.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
            )

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self._output_bytes

    @property
    def peer(self) -> str:
        """Return the peer's address for display, "unknown" if it is not available."""
        with contextlib.suppress(OSError):
            host, port = self._sock.getpeername()[:2]
            return f"{host}:{port}"
        return "unknown"

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent before the loop next waits for events."""
        if self.closed:
            return
        self._output.append(data)
        self._output_bytes += len(data)
        if self.tally is not None:
            self.tally.bytes += len(data)
        if not self._flush_queued:
            self._flush_queued = True
            self._poller.flush_later(self)

    def pause_reading(self) -> None:
        """Stop receiving, so that flow control stops the peer from sending."""
        self._reading = False
        self._update_mask()

    def limit_receive_buffer(self) -> None:
        """Let the kernel hold little input of a peer whose input is not read.

        It would otherwise hold up to some megabytes, which count as this process's.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, PAUSED_RECEIVE_BYTES
            )

    def resume_reading(self) -> None:
        """Start receiving again."""
        self._reading = True
        self._update_mask()

    def finish_output(self) -> None:
        """Shut down the sending side after all queued output; input is still read."""
        if self.closed:
            return
        self._finish_queued = True
        if not self._output_bytes:
            self._shut_down_output()

    def close_after_output(self) -> None:
        """Close the connection after all queued output has been sent."""
        self.close_when_drained = True
        if not self._output_bytes:
            self.close("closed locally")

    @property
    def peer_host(self) -> str:
        """Return the peer's IP address, an empty text if it is not available."""
        with contextlib.suppress(OSError):
            return self._sock.getpeername()[0]
        return ""

    def close(self, reason: str) -> None:
        """Close the connection immediately and notify the handler."""
        if self.closed:
            return
        self.closed = True
        self._poller.unregister_direct(self._fd)
        self._sock.close()
        self._output.clear()
        if self.tally is not None:
            self.tally.bytes -= self._output_bytes
        self._output_bytes = 0
        self.handler.on_closed(reason)

    def reset(self, reason: str) -> None:
        """Close with a TCP reset, so that the peer does not see a regular end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close(reason)

    def flush(self) -> None:
        """Send as much of the queued output as the socket accepts."""
        self._flush_queued = False
        if self.closed or self._connecting or not self._output:
            return
        while self._output:
            self._join_small_output()
            data = self._output[0]
            try:
                sent = self._sock.send(data)
            except OSError as error:
                if error.errno not in RETRY_ERRNOS:
                    self.close(f"send failed: {error}")
                    return
                sent = 0
            self._output_bytes -= sent
            if self.tally is not None:
                self.tally.bytes -= sent
            self.sent_bytes += sent
            if sent < len(data):
                # A view, since copying the rest of a large message for each piece that
                # the socket accepts would take time that grows with its square.
                self._output[0] = memoryview(data)[sent:]
                self._update_mask()
                return
            del self._output[0]
        if self.close_when_drained:
            self.close("closed locally")
            return
        if self._finish_queued:
            self._shut_down_output()
            return
        self._update_mask()
        self.handler.on_drained()

    def _join_small_output(self) -> None:
        """Join the first pieces, so that small messages share a call."""
        count = 0
        size = 0
        for data in self._output:
            size += len(data)
            if size > MAX_JOINED_BYTES:
                break
            count += 1
        if count > 1:
            self._output[:count] = [b"".join(self._output[:count])]

    def _shut_down_output(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.close(f"shutdown failed: {error}")
            return
        self._update_mask()

    def _update_mask(self) -> None:
        if self.closed or self._connecting:
            return
        mask = READABLE if self._reading else 0
        if self._output_bytes and not self._flush_queued:
            mask |= WRITABLE
        if mask != self._mask:
            self._mask = mask
            self._poller.modify_direct(self._fd, mask)

    def _on_ready(self, events: int) -> None:
        if self._connecting:
            self._finish_connecting()
            return
        if events & WRITABLE:
            self.flush()
        if self.closed:
            return
        if events & READABLE and self._reading:
            self._receive()
            return
        if events & HUNG_UP:
            self.close("socket hang-up or error")

    def _finish_connecting(self) -> None:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        error = error or self._connect_error
        if error:
            self.close(f"connect failed: {errno.errorcode.get(error, error)}")
            return
        self._connecting = False
        self._mask = READABLE
        self._poller.modify_direct(self._fd, READABLE)
        self.handler.on_connected()
        self.flush()

    def receive_arrived(self) -> None:
        """Pass on the bytes that have arrived already, without waiting for the loop."""
        if not self.closed and not self._connecting and self._reading:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if error.errno not in RETRY_ERRNOS:
                self.close(f"receive failed: {error}")
            return
        if not data:
            self.close(CLOSED_BY_PEER)
            return
        self.handler.on_data(data)


def connect(poller: Poller, address: Address, handler: ConnectionHandler) -> Connection:
    """Start to connect; the handler is notified of success or failure."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The socket does not keep an error that connect reports immediately, so it is
    # passed on; otherwise the attempt would look successful.
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        error = 0
    return Connection(poller, sock, handler, connecting=True, connect_error=error)


class Listener:
    """Listening socket that passes each accepted connection to a callback."""

    def __init__(
        self,
        poller: Poller,
        address: Address,
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        self._poller = poller
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        poller.register_direct(self._sock.fileno(), READABLE, self._on_ready)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Accept the connections that are pending, then stop listening."""
        # When the socket closes, the kernel resets pending connections, which may
        # have sent requests already.
        while self._accept():
            continue
        self._poller.unregister_direct(self._sock.fileno())
        self._sock.close()

    def _on_ready(self, events: int) -> None:
        self._accept()

    def _accept(self) -> bool:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            # The peer closed the connection or the process has no free descriptor;
            # accept is tried again when the socket is next ready.
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accept(sock)
        return True
