"""Represent a caller's request and write its answer."""

import abc
from collections import deque
from collections.abc import Callable

from flamingobank.loop import Headers

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
BODILESS_STATUSES = (204, 304)


class CallerWatcher(abc.ABC):
    """Observer of the caller's connection while a request is answered."""

    @abc.abstractmethod
    def on_caller_left(self) -> None:
        """Handle the end of the caller's connection."""

    def on_output_sent(self) -> None:
        """Handle that all output so far has been sent, and the answer is not over."""
        return None


class AnswerConnection(abc.ABC):
    """Connection that sends answers in the order of their requests."""

    @abc.abstractmethod
    def make_persistence_headers(self, request: "CallerRequest") -> list[bytes]:
        """Return the headers that say whether the connection stays open."""

    @abc.abstractmethod
    def is_next(self, request: "CallerRequest") -> bool:
        """Return whether a request's answer may be sent now."""

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Send a piece of the answer to the oldest pending request."""

    @abc.abstractmethod
    def limit_queued_output(self) -> None:
        """Reset the connection if too much output waits for the caller to read it."""

    @abc.abstractmethod
    def count_held_output(self, count: int) -> None:
        """Count bytes of an answer that waits for earlier ones; negative for less."""

    @abc.abstractmethod
    def release(self, request: "CallerRequest") -> None:
        """Stop counting the memory of a request, which has an answer."""

    @abc.abstractmethod
    def on_answered(self) -> None:
        """Handle the end of an answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Reset the connection."""


class CallerRequest:
    """A caller's request and the state of its answer."""

    __slots__ = (
        "_body",
        "_chunked",
        "_held_output_bytes",
        "_output",
        "body_bytes",
        "complete",
        "connection",
        "drop_answer",
        "finished",
        "headers",
        "held_bytes",
        "keep_alive",
        "method",
        "read_at",
        "started",
        "target",
        "watcher",
    )

    def __init__(self, connection: AnswerConnection) -> None:
        self.connection = connection
        self.method = ""
        self.target = b""
        self.headers: Headers = []
        # One buffer, since an object for each of many small parts would take several
        # times their size.
        self._body: bytes | bytearray = b""
        # The declared size of the body, or what has arrived of one without.
        self.body_bytes = 0
        # What the memory account counts for this request.
        self.held_bytes = 0
        self._held_output_bytes = 0
        self.keep_alive = True
        self.complete = False
        self.started = False
        self.finished = False
        self.read_at = 0.0
        self.watcher: CallerWatcher | None = None
        # Replaces an answer of which nothing has been sent by a short one.
        self.drop_answer: Callable[[], None] | None = None
        self._chunked = False
        self._output: deque[bytes] = deque()

    @property
    def body(self) -> bytes | bytearray:
        """Return the body, or what has arrived of it; it is not to be changed."""
        return self._body

    @property
    def held_output_bytes(self) -> int:
        """Return how many bytes of the answer wait for earlier answers."""
        return self._held_output_bytes

    def append_body(self, data: bytes) -> None:
        """Append a part to the body."""
        if not self._body:
            self._body = data
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def get_header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string if it is missing."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1")
        return ""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        self.start(status, headers, len(body))
        if self.method != "HEAD":
            self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of an answer; without a length the body is sent in chunks."""
        self.started = True
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Answer"))]
        lines += [
            b"%s: %s" % header for header in headers if header[0] != b"content-length"
        ]
        if status not in BODILESS_STATUSES:
            self._chunked = length is None
            if self._chunked:
                lines.append(b"Transfer-Encoding: chunked")
            else:
                lines.append(b"Content-Length: %d" % length)
        lines += self.connection.make_persistence_headers(self)
        self._send(b"\r\n".join([*lines, b"", b""]))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._send(data)

    def write_part(self, data: bytes) -> None:
        """Send a part of a streamed body, or cut off a caller that does not read."""
        self.write(data)
        self.connection.limit_queued_output()

    def finish(self) -> None:
        """Finish the answer, so that the next one may be sent."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self.finished = True
        self.watcher = None
        self._body = b""
        self.connection.release(self)
        self.connection.on_answered()

    def discard_output(self) -> bool:
        """Discard an answer of which nothing has been sent, so that another may be.

        Returns False if a part has been sent.
        """
        if self.connection.is_next(self):
            return not self.started
        self.drop_output()
        self.started = False
        self.finished = False
        self._chunked = False
        return True

    def abort(self) -> None:
        """Reset the connection, so that the partial answer does not look complete."""
        self.watcher = None
        self.connection.abort()

    def flush(self) -> None:
        """Send the output that was held back until earlier answers ended."""
        # Each piece is counted once, since sending it may cut off the callers that hold
        # the most, of which this may be one.
        while self._output:
            data = self._output.popleft()
            self._held_output_bytes -= len(data)
            self.connection.count_held_output(-len(data))
            self.connection.send(data)

    def drop_output(self) -> None:
        """Discard the output that is held back."""
        self._output.clear()
        self.connection.count_held_output(-self._held_output_bytes)
        self._held_output_bytes = 0

    def _send(self, data: bytes) -> None:
        if self.connection.is_next(self):
            self.connection.send(data)
            return
        self._output.append(data)
        self._held_output_bytes += len(data)
        self.connection.count_held_output(len(data))
