"""HTTP/1.1 client that sends one request at a time over a connection.

The client of circuits.web collects whole answers in memory and cannot stream them,
so this client parses answers with httptools.
"""

import abc
from collections.abc import Callable

import httptools

from flamingobank.loop.connections import (
    CLOSED_BY_PEER,
    RECEIVE_BYTES,
    Address,
    Connection,
    ConnectionHandler,
    connect,
)
from flamingobank.loop.poller import Poller

Headers = list[tuple[bytes, bytes]]
# Tells whether a status and headers belong to the answer to the current request.
AnswerFilter = Callable[[int, Headers], bool]

MIN_STATUS = 100
MAX_STATUS = 599
MAX_ANSWER_HEAD_BYTES = 65536
# Limit once an answer to another request was skipped, which may have a body.
MAX_SKIPPED_BYTES = 1_048_576


class AnswerHandler(abc.ABC):
    """Handler of the answer to one request."""

    @abc.abstractmethod
    def on_answer_head(self, status: int, headers: Headers) -> None:
        """Handle the status and headers."""

    @abc.abstractmethod
    def on_answer_part(self, data: bytes) -> None:
        """Handle a part of the body."""

    @abc.abstractmethod
    def on_answer_end(self) -> None:
        """Handle the end of a complete answer."""

    @abc.abstractmethod
    def on_answer_failed(self, reason: str, sent: bool) -> None:
        """Handle a failed exchange; ``sent`` tells whether any byte may have left."""


class HttpClientConnection(ConnectionHandler):
    """Persistent connection that carries one request after another."""

    def __init__(self, poller: Poller, address: Address) -> None:
        self.address = address
        # If set, tells the answer to the current request from late answers to earlier
        # requests, which are skipped.
        self.identify: AnswerFilter | None = None
        self._skipping_answer = False
        self._on_connect_result: Callable[[bool], None] | None = None
        self.connected = False
        self.closed = False
        self.reusable = True
        self._exchange: AnswerHandler | None = None
        self._request: tuple[bytes, bytes] | None = None
        self._status_seen = False
        self._complete = False
        self._is_head_request = False
        self._headers: Headers = []
        # The parts of the body in what was received last. They are passed on as one,
        # since a chunk may hold a single byte.
        self._body: list[bytes] = []
        self._head_bytes = 0
        # Bytes since the expected answer last made progress by its head or a part of
        # its body. The parser collects a header or status line without a limit.
        self._bytes_without_progress = 0
        self._skipped_any = False
        self._parser: httptools.HttpResponseParser | None = None
        self._connection: Connection = connect(poller, address, self)

    @property
    def idle(self) -> bool:
        """Tell whether the connection can be used for another request."""
        return self._exchange is None and not self.closed and self.reusable

    @property
    def output_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self._connection.output_bytes

    def send(self, request: bytes, handler: AnswerHandler, body: bytes = b"") -> None:
        """Send one request and pass its answer to the handler.

        A body that is not a part of `request` is sent behind it, without a copy.
        """
        self._exchange = handler
        self._headers = []
        self._head_bytes = 0
        self._status_seen = False
        self._complete = False
        self._skipping_answer = False
        self._bytes_without_progress = 0
        self._skipped_any = False
        # The parser does not know that an answer to HEAD has no body.
        self._is_head_request = request.startswith(b"HEAD ")
        self._parser = httptools.HttpResponseParser(self)
        if self.connected:
            self._write(request, body)
            return
        self._request = (request, body)

    def cancel(self) -> None:
        """Abandon the exchange and close the connection, which cancels the request."""
        self._exchange = None
        self.close("cancelled")

    def close(self, reason: str = "closed locally") -> None:
        """Close the connection."""
        self._connection.close(reason)

    def pause_reading(self) -> None:
        """Stop receiving until resume_reading is called."""
        self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Start receiving again."""
        if not self.closed:
            self._connection.resume_reading()

    def watch_connecting(self, on_result: Callable[[bool], None]) -> None:
        """Call back once with whether the connection could be established."""
        self._on_connect_result = on_result

    def on_connected(self) -> None:
        self.connected = True
        if self._on_connect_result is not None:
            on_result, self._on_connect_result = self._on_connect_result, None
            on_result(True)
        if self._request is None:
            return
        self._write(*self._request)
        self._request = None

    def _write(self, request: bytes, body: bytes) -> None:
        self._connection.write(request)
        if body:
            self._connection.write(body)

    def on_data(self, data: bytes) -> None:
        if self._exchange is None:
            # No request is in progress. The bytes would be taken for the answer to the
            # next one.
            self.close("unexpected bytes from server")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            self._pass_body()
            if self._complete and self.identify is not None:
                # The answer is complete and stays valid; because of the bytes after it,
                # the connection is not used again.
                self._finish()
                return
            self.close(f"malformed answer: {error}")
            return
        self._pass_body()
        if self._complete:
            self._finish()
            return
        self._limit_bytes_without_progress(len(data))

    def on_closed(self, reason: str) -> None:
        self.closed = True
        if self._on_connect_result is not None:
            on_result, self._on_connect_result = self._on_connect_result, None
            on_result(False)
        exchange = self._exchange
        if exchange is None:
            return
        self._exchange = None
        if reason == CLOSED_BY_PEER and self._ends_with_connection():
            exchange.on_answer_end()
            return
        exchange.on_answer_failed(reason, sent=self.connected)

    def on_message_begin(self) -> None:
        """Refuse a message after a complete answer; called by the parser."""
        self._check_incomplete()
        self._skipping_answer = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            raise ValueError(
                f"answer head has {self._head_bytes} bytes, "
                f"at most {MAX_ANSWER_HEAD_BYTES} are allowed"
            )
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the status and headers; called by the parser."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            # The parser takes any three digits, and those below 100 would pass for an
            # interim answer.
            raise ValueError(
                f"status is {status:03d}, expected {MIN_STATUS} to {MAX_STATUS}"
            )
        if status < 200:
            self._headers = []
            return
        if self.identify is not None and not self.identify(status, self._headers):
            self._skipping_answer = True
            self._skipped_any = True
            self._headers = []
            self._head_bytes = 0
            return
        self._status_seen = True
        self._bytes_without_progress = 0
        # The parser no longer knows the Connection header when the message ends.
        self.reusable = self._parser.should_keep_alive()
        if self._exchange is not None:
            self._exchange.on_answer_head(status, self._headers)
        self._complete = self._is_head_request

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._check_incomplete()
        if self._skipping_answer:
            return
        self._bytes_without_progress = 0
        self._body.append(data)

    def _pass_body(self) -> None:
        """Pass on what was received of the body."""
        body, self._body = self._body, []
        if body and self._exchange is not None:
            self._exchange.on_answer_part(b"".join(body))

    def on_message_complete(self) -> None:
        """Record the end of the answer; called by the parser."""
        if self._status_seen and not self._skipping_answer:
            self._complete = True

    def _limit_bytes_without_progress(self, count: int) -> None:
        self._bytes_without_progress += count
        limit = MAX_SKIPPED_BYTES if self._skipped_any else MAX_ANSWER_HEAD_BYTES
        # What was received last may hold the progress and bytes after it.
        if self._bytes_without_progress > limit + RECEIVE_BYTES:
            self.reusable = False
            self.close(
                f"{self._bytes_without_progress} bytes that are neither the head nor "
                f"the body of the answer, at most {limit} are allowed"
            )

    def _check_incomplete(self) -> None:
        if self._complete:
            raise ValueError("bytes follow the end of the answer")

    def _finish(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if not self.reusable:
            self.close("server does not keep the connection open")
        if exchange is not None:
            exchange.on_answer_end()

    def _ends_with_connection(self) -> bool:
        """Tell whether the close of the connection marks the end of the answer.

        Without a length header, a regular close cannot be distinguished from a
        crash. Such an answer counts as complete only if the server announced the
        close, or if the user of this client identifies its answers and decides
        itself whether they are complete.
        """
        if not self._status_seen or self._complete:
            return False
        names = {name.lower(): value.lower() for name, value in self._headers}
        if b"content-length" in names or b"transfer-encoding" in names:
            return False
        return self.identify is not None or names.get(b"connection") == b"close"
