"""Pass a streamed answer on to its entry as fast as the caller takes it."""

import math
from collections import deque

from flamingobank.loop import HttpClientConnection
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.links.messages import (
    WINDOW_BYTES,
    WINDOW_REVISION,
    Answer,
    AnswerPart,
)

# The server is read only while less than this is queued on the link to the entry, which
# carries the answers to others as well.
MAX_QUEUED_OUTPUT_BYTES = 1_048_576
# The limit when the memory of the process is taken.
MIN_QUEUED_OUTPUT_BYTES = 65536


class AnswerStream:
    """The parts of one answer, and how much of them the entry has room for.

    The others wait here. When all that wait take too much memory, the connection to the
    server is not read, so that flow control slows the server.
    """

    def __init__(
        self,
        channel,
        stream: int,
        connection: HttpClientConnection,
        memory: MemoryAccount,
    ) -> None:
        self._channel = channel
        self._stream = stream
        self._connection = connection
        self._memory = memory
        # Earlier entries state no room, and are sent what the link takes.
        has_window = channel.peer_revision >= WINDOW_REVISION
        self._window_bytes = WINDOW_BYTES if has_window else math.inf
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._ended = False
        self._paused = False

    @property
    def is_sent(self) -> bool:
        """Return whether no part waits here."""
        return not self._unsent

    def start(self, answer: Answer) -> None:
        """Send the head of the answer, and what there is room for of its body."""
        body, rest = self._split(answer.body)
        self._channel.send(
            Answer(
                answer.stream,
                answer.status,
                answer.headers,
                body,
                False,
                answer.report,
            )
        )
        self._window_bytes -= len(body)
        if rest:
            self._hold(rest)
        self.update_reading()

    def add(self, body: bytes, complete: bool) -> None:
        """Send a part, or hold it until there is room."""
        self._ended = complete
        if body:
            self._hold(body)
            self._send_held()
        elif not self._unsent:
            self._channel.send(AnswerPart(self._stream, b"", complete))
        self.update_reading()

    def open_window(self, count: int) -> None:
        """Send more, as the caller has taken some bytes."""
        if count > 0:
            self._window_bytes = min(self._window_bytes + count, WINDOW_BYTES)
        self._send_held()
        self.update_reading()

    def discard(self) -> None:
        """Drop what waits here, and all that follows."""
        self._window_bytes = math.inf
        self._memory.answers.bytes -= self._unsent_bytes
        self._unsent.clear()
        self._unsent_bytes = 0
        self.update_reading()

    def update_reading(self) -> None:
        """Pause the server's connection, or read on from it."""
        if self._ended:
            # The connection may have been given to another request.
            return
        queued_bytes = self._channel.output_bytes
        limit_bytes = self._max_queued_bytes
        has_no_room = bool(self._unsent) and self._memory.is_answers_full
        if not self._paused and (has_no_room or queued_bytes > limit_bytes):
            self._paused = True
            self._connection.pause_reading()
        elif self._paused and not has_no_room and queued_bytes <= limit_bytes / 2:
            self._paused = False
            self._connection.resume_reading()

    @property
    def _max_queued_bytes(self) -> int:
        if self._memory.is_shared_full:
            return MIN_QUEUED_OUTPUT_BYTES
        return MAX_QUEUED_OUTPUT_BYTES

    def _split(self, body: bytes) -> tuple[bytes, bytes]:
        """Return the part of a body that there is room for, and the rest."""
        if len(body) <= self._window_bytes:
            return body, b""
        return body[: self._window_bytes], body[self._window_bytes :]

    def _hold(self, body: bytes) -> None:
        self._unsent.append(body)
        self._unsent_bytes += len(body)
        self._memory.answers.bytes += len(body)

    def _send_held(self) -> None:
        while self._unsent and self._window_bytes > 0:
            body, rest = self._split(self._unsent.popleft())
            if rest:
                self._unsent.appendleft(rest)
            self._unsent_bytes -= len(body)
            self._memory.answers.bytes -= len(body)
            self._window_bytes -= len(body)
            is_last = self._ended and not self._unsent
            self._channel.send(AnswerPart(self._stream, body, is_last))
