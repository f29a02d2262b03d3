"""Write structured log lines without blocking the loop.

Lines go through eliot to a bounded queue; what standard output does not take in time
is dropped and counted.
"""

import json
import os
import sys
from collections import deque

import eliot

from flamingobank.loop import Poller

# Holds some seconds of a busy node; a reader that stops costs no more memory.
MAX_QUEUED_LINES = 2000
# Lines of one second beyond this are dropped, those of single requests first.
MAX_LINES_PER_S = 400
MAX_REQUEST_LINES_PER_S = 200


class EventLog:
    """Log decisions of one process with its name."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._clock = None
        self.dropped = 0
        self._current_second = 0
        self._lines_in_second = 0

    def use_clock(self, clock) -> None:
        """Stamp lines with a monotonic reading besides the time of day."""
        self._clock = clock

    def event(self, message_type: str, /, **fields: object) -> None:
        """Log what the process did or now believes."""
        if self._is_within_limit(MAX_LINES_PER_S):
            eliot.log_message(message_type=message_type, node=self._node, **fields)

    def request(self, message_type: str, request: str, /, **fields: object) -> None:
        """Log a decision on a request."""
        if self._is_within_limit(MAX_REQUEST_LINES_PER_S):
            eliot.log_message(
                message_type=message_type, node=self._node, request=request, **fields
            )

    def warn(self, message_type: str, /, **fields: object) -> None:
        """Log what should not have happened."""
        self.event(message_type, level="warning", **fields)

    def _is_within_limit(self, limit: int) -> bool:
        if self._clock is not None:
            second = int(self._clock.now())
            if second != self._current_second:
                self._current_second = second
                self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > limit:
            self.dropped += 1
            return False
        return True


class LineOutput:
    """Write lines to standard output as far as it takes them."""

    def __init__(self, poller: Poller, fd: int) -> None:
        self._poller = poller
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._flush_queued = False
        self.dropped = 0
        os.set_blocking(fd, False)

    @property
    def queued(self) -> int:
        """Return the number of lines that wait to be written."""
        return len(self._queue)

    def write(self, message: dict) -> None:
        """Queue one line."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._queue.popleft()
            self.dropped += 1
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level")
        }
        self._queue.append(json.dumps(line, default=str).encode() + b"\n")
        if not self._flush_queued:
            self._flush_queued = True
            self._poller.flush_later(self)

    def flush(self) -> None:
        """Write what standard output takes now; the rest waits for the next line."""
        self._flush_queued = False
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads; there is nowhere else to tell.
                self.dropped += len(self._queue)
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
                return
            self._queue.popleft()


def start_logging(poller: Poller) -> LineOutput:
    """Send all log lines of the process to standard output."""
    output = LineOutput(poller, sys.stdout.fileno())
    eliot.add_destinations(output.write)
    return output
