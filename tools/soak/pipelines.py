"""Send several requests behind one another on one connection."""

from collections import deque
from collections.abc import Sequence

import httptools

from flamingobank.loop import Address, AnswerHandler, Headers, Poller
from flamingobank.loop.connections import ConnectionHandler, connect


class PipelinedCall(AnswerHandler):
    """Handler of an answer that may have to wait for those before it."""

    # An answer before this one was cut off, or was the last one of the connection.
    answer_impossible = False
    # An answer before this one said that the connection closes after it.
    is_behind_last = False


class Pipeline(ConnectionHandler):
    """A connection on which all requests are sent at once."""

    def __init__(
        self,
        poller: Poller,
        address: Address,
        requests: bytes,
        calls: Sequence[PipelinedCall],
    ) -> None:
        self._requests = requests
        self._calls = deque(calls)
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_seen = False
        self._connection = connect(poller, address, self)

    def close(self, reason: str) -> None:
        """Close the connection; the calls without an answer fail."""
        self._connection.close(reason)

    def on_connected(self) -> None:
        self._connection.write(self._requests)

    def on_data(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close(f"malformed answer: {error}")

    def on_closed(self, reason: str) -> None:
        was_cut = self._head_seen
        while self._calls:
            call = self._calls.popleft()
            call.on_answer_failed(reason, sent=True)
            for behind in self._calls:
                behind.answer_impossible = behind.answer_impossible or was_cut

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the head of the answer."""
        if not self._calls:
            raise ValueError("an answer without a request")
        self._head_seen = True
        self._calls[0].on_answer_head(self._parser.get_status_code(), self._headers)
        if not self._parser.should_keep_alive():
            for behind in list(self._calls)[1:]:
                behind.answer_impossible = True
                behind.is_behind_last = True

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._calls[0].on_answer_part(data)

    def on_message_complete(self) -> None:
        """Pass on the end of the answer."""
        self._head_seen = False
        self._calls.popleft().on_answer_end()
