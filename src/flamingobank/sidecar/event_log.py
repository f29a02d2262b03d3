"""Write structured log lines without blocking the event loop.

Lines go through eliot to a bounded queue. When standard output is too slow and the
queue is full, the oldest lines are dropped and counted.
"""

import json
import os
import sys
import time
import traceback
from collections import deque

import eliot
import orjson

from flamingobank.loop import Poller

# A busy node writes this many lines in some seconds. The limit bounds the memory that
# is used when the process that reads standard output stops reading.
MAX_QUEUED_LINES = 2000
# Lines above these counts in one second are dropped; the lower limit applies to lines
# about single requests, so these are dropped first.
MAX_LINES_PER_S = 400
MAX_REQUEST_LINES_PER_S = 200
# Lines that are queued together share a call to write, up to this size.
MAX_WRITE_BYTES = 65536


class EventLog:
    """Log events of one process with its node name, up to a rate limit."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._logger = eliot.Logger()
        self._clock = None
        self.dropped = 0
        # Unexpected exceptions, also those whose lines were dropped.
        self.exceptions = 0
        self._current_second = 0
        self._lines_in_second = 0

    def use_clock(self, clock) -> None:
        """Set the clock that divides time into seconds for the rate limits."""
        self._clock = clock

    def event(self, message_type: str, /, **fields: object) -> None:
        """Log an action or a change of state of the process."""
        if self._is_within_limit(MAX_LINES_PER_S):
            self._write(message_type, fields)

    def request(self, message_type: str, request: str, /, **fields: object) -> None:
        """Log a decision on a request."""
        if self._is_within_limit(MAX_REQUEST_LINES_PER_S):
            self._write(message_type, {"request": request, **fields})

    def _write(self, message_type: str, fields: dict[str, object]) -> None:
        # Without an action of eliot around it, a line needs no id and level of a task.
        self._logger.write(
            {
                "node": self._node,
                **fields,
                "timestamp": time.time(),
                "message_type": message_type,
            }
        )

    def warn(self, message_type: str, /, **fields: object) -> None:
        """Log an unexpected event with the level "warning"."""
        self.event(message_type, level="warning", **fields)

    def exception(
        self, message_type: str, error: BaseException, /, **fields: object
    ) -> None:
        """Count and log an unexpected exception with its traceback."""
        self.exceptions += 1
        self.warn(
            message_type,
            error=f"{type(error).__name__}: {error}",
            trace="".join(traceback.format_tb(error.__traceback__)),
            **fields,
        )

    def _is_within_limit(self, limit: int) -> bool:
        if self._clock is not None:
            second = int(self._clock.now())
            if second != self._current_second:
                self._current_second = second
                self._lines_in_second = 0
        if self._lines_in_second >= limit:
            self.dropped += 1
            return False
        self._lines_in_second += 1
        return True


class SilentEventLog(EventLog):
    """Write nothing, for decisions that are only explained."""

    def _write(self, message_type: str, fields: dict[str, object]) -> None:
        return


class LineOutput:
    """Write lines to a file descriptor without blocking."""

    def __init__(self, poller: Poller, fd: int) -> None:
        self._poller = poller
        self._fd = fd
        self._queue: deque[bytes] = deque()
        # Lines of which a part may have been written; they are not dropped.
        self._begun = b""
        self._begun_lines = 0
        self._flush_queued = False
        self.dropped = 0
        os.set_blocking(fd, False)

    @property
    def queued(self) -> int:
        """Return the number of lines that wait to be written."""
        return len(self._queue) + self._begun_lines

    def write(self, message: dict) -> None:
        """Queue one line, dropping the oldest when the queue is full."""
        if self._queue and self.queued >= MAX_QUEUED_LINES:
            self._queue.popleft()
            self.dropped += 1
        self._queue.append(_encode_line(message))
        if not self._flush_queued:
            self._flush_queued = True
            self._poller.flush_later(self)

    def flush(self) -> None:
        """Write as many lines as possible now; the rest waits for the next flush."""
        self._flush_queued = False
        while self._begun or self._queue:
            self._take_lines()
            try:
                written = os.write(self._fd, self._begun)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed, and there is no other place to report that.
                self.dropped += self.queued
                self._begun, self._begun_lines = b"", 0
                self._queue.clear()
                return
            self._begun = self._begun[written:]
            if not self._begun:
                self._begun_lines = 0

    def _take_lines(self) -> None:
        """Join lines for one write, unless an earlier one left a part."""
        if self._begun:
            return
        lines = []
        size = 0
        while self._queue and size < MAX_WRITE_BYTES:
            lines.append(self._queue.popleft())
            size += len(lines[-1])
        self._begun = b"".join(lines)
        self._begun_lines = len(lines)


def _encode_line(message: dict) -> bytes:
    try:
        return orjson.dumps(message, default=str) + b"\n"
    except TypeError:
        # A number of more than 64 bits, or text that is not valid Unicode.
        return json.dumps(message, default=str).encode() + b"\n"


def start_logging(poller: Poller) -> LineOutput:
    """Send all log lines of the process to standard output."""
    output = LineOutput(poller, sys.stdout.fileno())
    eliot.add_destinations(output.write)
    return output
