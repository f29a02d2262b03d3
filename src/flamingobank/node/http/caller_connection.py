"""Parse the requests of one connection, one at a time, and send their answers."""

import abc
import socket
from typing import Protocol

import eliot
import httptools

from flamingobank.core import Clock
from flamingobank.loop import Connection, ConnectionHandler, Poller
from flamingobank.node.http.caller_request import RequestSource
from flamingobank.settings import CallerLimits

# No further request is read while more output than this is queued; otherwise a caller
# that sends requests but reads no answers would fill the memory.
MAX_UNREAD_BYTES = 262_144
LIMIT_STATUSES = (413, 429, 431, 503)
HTTP_1_1 = (1, 1)

STATUS_LINES = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    413: b"413 Content Too Large",
    429: b"429 Too Many Requests",
    431: b"431 Request Header Fields Too Large",
    501: b"501 Not Implemented",
    503: b"503 Service Unavailable",
    505: b"505 HTTP Version Not Supported",
}


class CallerWatcher(abc.ABC):
    """Observer of the caller's connection while a request is answered."""

    @abc.abstractmethod
    def on_caller_left(self) -> None:
        """Handle the end of the caller's connection."""

    @abc.abstractmethod
    def on_output_drained(self) -> None:
        """Handle the moment when all queued output has been sent."""


class ConnectionOwner(Protocol):
    """State and callbacks shared by the connections of one listening address.

    This is a Protocol because a circuits component cannot derive from an abstract
    base class.
    """

    poller: Poller
    clock: Clock
    limits: CallerLimits
    draining: bool

    def on_request(self, connection: "CallerConnection") -> None:
        """Handle a request that has been read whole."""

    def remove(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""

    def try_begin_request(self, caller: str) -> bool:
        """Count a request of a caller as in flight; return False if it has too many."""

    def end_request(self, caller: str) -> None:
        """Stop counting a request of a caller as in flight."""

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused before it reached a handler, by status."""


class CallerConnection(ConnectionHandler, RequestSource):
    """Parse the requests of one connection; only one is in flight at a time."""

    def __init__(self, server: ConnectionOwner, sock: socket.socket) -> None:
        self.server = server
        self.method = ""
        self.target = b""
        self.protocol = HTTP_1_1
        self.headers: list[tuple[bytes, bytes]] = []
        self.keep_alive = True
        self.busy = False
        self._counted_in_flight = False
        self._paused = False
        self.closed = False
        self.watcher: CallerWatcher | None = None
        self.phase_started_at = server.clock.now()
        self.reading_request = False
        self._seen_output_bytes = 0
        self._progress_at = self.phase_started_at
        self._peername = sock.getpeername()
        # A bytearray, because a list of many tiny chunks would take a multiple of their
        # size.
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_input_bytes = 0
        self._error_status: int | None = None
        self._pipelined: list[bytes] = []
        self._pipelined_bytes = 0
        self._message_ended = False
        self._parser = httptools.HttpRequestParser(self)
        self.connection = Connection(server.poller, sock, self, connecting=False)

    def getpeername(self):
        """Return the caller's address; circuits.web calls this method."""
        return self._peername

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that are queued for sending."""
        return self.connection.output_bytes

    @property
    def closing(self) -> bool:
        """Return whether the connection closes once its output has been sent."""
        return self.connection.close_when_drained

    def is_stalled(self, now: float) -> bool:
        """Return whether the queued output has not changed for the request timeout.

        Each call compares the queue with that of the previous call.
        """
        waiting = self.output_bytes
        if not waiting or waiting != self._seen_output_bytes:
            self._seen_output_bytes = waiting
            self._progress_at = now
        limit_s = self.server.limits.request_timeout_ms / 1000
        return now > self._progress_at + limit_s

    def take_body(self) -> bytes:
        """Return the body of the request that has been read, and release it."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def write(self, data: bytes) -> None:
        """Queue output for sending."""
        self.connection.write(data)

    def close(self) -> None:
        """Close the connection once its output has been sent."""
        self.connection.close_after_output()

    def close_if_unused(self) -> None:
        """Close an idle connection unless a request has arrived on it."""
        self.connection.receive_arrived()
        if not self.busy and not self.reading_request and not self.closed:
            self.close()

    def abort(self) -> None:
        """Reset the connection, so that a partial answer does not look complete."""
        # If the answer has no length and no chunks, a regular close would end it as a
        # complete one.
        self.connection.reset("aborted")

    def finish_answer(self, keep: bool) -> None:
        """End the request, and read the next one or close the connection."""
        self.watcher = None
        self._end_request()
        self.phase_started_at = self.server.clock.now()
        if not keep or not self.keep_alive or self.server.draining:
            self.close()
            return
        self._parser = httptools.HttpRequestParser(self)
        self._message_ended = False
        if self.output_bytes > MAX_UNREAD_BYTES:
            self._paused = True
            self.connection.pause_reading()
            return
        self._read_pipelined()

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is already open."""

    def on_data(self, data: bytes) -> None:
        if self.busy:
            self._buffer_pipelined(data)
            return
        if self.closing:
            # The connection closes after the output that is being sent, so a further
            # request is discarded.
            return
        if not self.reading_request:
            self.reading_request = True
            self.phase_started_at = self.server.clock.now()
        if not self._message_ended and not self._feed(data):
            return
        if self._error_status is not None:
            self.refuse(self._error_status)
            return
        if self._message_ended:
            self._begin_request()
            return
        if not self._head_complete:
            self._head_input_bytes += len(data)
            if self._head_input_bytes > self.server.limits.max_head_bytes:
                self.refuse(431)

    def on_closed(self, reason: str) -> None:
        self.closed = True
        self._end_request()
        self.server.remove(self)
        if self.watcher is not None:
            watcher = self.watcher
            self.watcher = None
            watcher.on_caller_left()

    def on_drained(self) -> None:
        if self._paused:
            self._paused = False
            self.connection.resume_reading()
            self._read_pipelined()
        if self.watcher is not None:
            self.watcher.on_output_drained()

    def refuse(self, status: int) -> None:
        """Answer a request that reaches no handler, and close the connection."""
        self.busy = True
        self.server.count_refusal(status)
        self.write(
            b"HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n"
            b"Flamingobank-Outcome: not-run\r\nFlamingobank-Reason: %s\r\n\r\n"
            % (
                STATUS_LINES[status],
                b"limit" if status in LIMIT_STATUSES else b"bad-request",
            )
        )
        self.close()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self._message_ended:
            # A second request begins in the data that ended the first. The parser does
            # not return these bytes. If they were dropped, the rest of the second
            # request could be parsed as a different one, so the input is refused.
            self._error_status = 400
            return
        self.headers = []
        self._head_complete = False
        self.target = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_input_bytes = 0

    _head_complete = False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        if not self._message_ended:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers only count towards the size limit."""
        if self._message_ended:
            return
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > self.server.limits.max_head_bytes:
            self._error_status = 431
            return
        if self._head_complete:
            # A trailer arrives after the checks of the head and would bypass them.
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the HTTP version, the Host header and the framing of the body."""
        if self._message_ended:
            return
        self._head_complete = True
        # The parser discards the Connection header at the end of the message.
        self.keep_alive = self._parser.should_keep_alive()
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            self._error_status = 505
            return
        names = [name for name, _ in self.headers]
        if names.count(b"host") != 1 and version == "1.1":
            self._error_status = 400
        lengths = names.count(b"content-length")
        encodings = names.count(b"transfer-encoding")
        if lengths + encodings > 1:
            self._error_status = 400
        limit = self.server.limits.max_body_bytes
        for name, value in self.headers:
            if name == b"content-length" and int(value) > limit:
                self._error_status = 413
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                self._error_status = 501
        if self._parser.should_upgrade():
            self._error_status = 501

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if self._message_ended:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.server.limits.max_body_bytes:
            self._error_status = 413
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Note that the request has been read whole."""
        self._message_ended = True

    def _feed(self, data: bytes) -> bool:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(501)
            return False
        except (httptools.HttpParserError, ValueError) as error:
            eliot.log_message(
                message_type="edge:malformed",
                caller=self._peername[0],
                error=str(error),
            )
            self.refuse(self._error_status or 400)
            return False
        return True

    def _begin_request(self) -> None:
        if not self.server.try_begin_request(self.getpeername()[0]):
            self.refuse(429)
            return
        self.busy = True
        self._counted_in_flight = True
        self.reading_request = False
        self.method = self._parser.get_method().decode("latin-1")
        version = self._parser.get_http_version()
        self.protocol = (1, 0) if version == "1.0" else HTTP_1_1
        self.server.on_request(self)

    def _read_pipelined(self) -> None:
        pipelined = b"".join(self._pipelined)
        self._pipelined.clear()
        self._pipelined_bytes = 0
        if pipelined:
            self.on_data(pipelined)

    def _end_request(self) -> None:
        self.busy = False
        if self._counted_in_flight:
            self._counted_in_flight = False
            self.server.end_request(self.getpeername()[0])

    def _buffer_pipelined(self, data: bytes) -> None:
        """Keep input that arrived before the current answer ended.

        Resets the connection if it exceeds the limit for a request head.
        """
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > self.server.limits.max_head_bytes:
            self.abort()
            return
        self._pipelined.append(data)
