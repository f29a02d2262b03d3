"""Poller for the circuits loop, with constant cost per change of a descriptor."""

import math
import select
from collections import deque
from collections.abc import Callable
from typing import Protocol

from circuits.core.events import generate_events
from circuits.core.pollers import BasePoller, _disconnect, _read, _write

from flamingobank.core import Clock

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HUNG_UP = select.EPOLLHUP | select.EPOLLERR
# Descriptors that one poll finds at most. The others are found by later polls.
MAX_FOUND = 1023
# For decisions that a shorter delay does not change, what a poll finds has just arrived
# if the time before which it had not arrived is at most this long ago.
PROMPT_S = 0.5

ReadyHandler = Callable[[int], None]


class Flushable(Protocol):
    """Object with output that is sent before the loop next waits for events."""

    def flush(self) -> None:
        """Send the queued output."""


class Poller(BasePoller):
    """Poller that uses epoll.

    It notifies circuits components by events, and descriptors that are registered
    with register_direct by direct calls. The pollers of circuits keep descriptors in
    lists, so each change of the events of interest takes time linear in the number
    of connections.
    """

    channel = "poller"

    def __init__(self) -> None:
        super().__init__(channel=self.channel)
        self._epoll = select.epoll()
        self._sources: dict[int, object] = {}
        self._masks: dict[int, int] = {}
        self._ready_handlers: dict[int, ReadyHandler] = {}
        self._flushables: deque[Flushable] = deque()
        # Set to have the times of polls noted.
        self.clock: Clock | None = None
        # A time at which nothing that the current poll found was ready, however long
        # the process was suspended since. Needs the clock.
        self.found_after = -math.inf
        # The begin of the last poll whose findings were all handled. Its end is no
        # such time: a poll in which the process is suspended may end without having
        # looked for what arrived meanwhile.
        self._polled_from = -math.inf
        self._control_fd = _get_fileno(self._ctrl_recv)
        self._epoll.register(self._control_fd, READABLE)

    def register_direct(self, fd: int, mask: int, on_ready: ReadyHandler) -> None:
        """Call on_ready(events) from the loop whenever the descriptor is ready."""
        self._ready_handlers[fd] = on_ready
        self._masks[fd] = mask
        self._epoll.register(fd, mask)

    def modify_direct(self, fd: int, mask: int) -> None:
        """Change the events of interest for a descriptor."""
        if self._masks[fd] == mask:
            return
        self._masks[fd] = mask
        self._epoll.modify(fd, mask)

    def unregister_direct(self, fd: int) -> None:
        """Stop watching a descriptor; must be called before it is closed."""
        del self._ready_handlers[fd]
        del self._masks[fd]
        self._epoll.unregister(fd)

    def count_descriptors(self) -> int:
        """Return how many descriptors are watched."""
        return len(self._masks)

    def flush_later(self, flushable: Flushable) -> None:
        """Flush an object once before the loop next waits for events."""
        self._flushables.append(flushable)

    def addReader(self, source, fd) -> None:  # noqa: N802
        """Watch a socket of a circuits component for input."""
        self._change_interest(source, fd, add=READABLE)

    def addWriter(self, source, fd) -> None:  # noqa: N802
        """Watch a socket of a circuits component for readiness to write."""
        self._change_interest(source, fd, add=WRITABLE)

    def removeReader(self, fd) -> None:  # noqa: N802
        """Stop watching a socket for input."""
        self._change_interest(None, fd, remove=READABLE)

    def removeWriter(self, fd) -> None:  # noqa: N802
        """Stop watching a socket for readiness to write."""
        self._change_interest(None, fd, remove=WRITABLE)

    def isReading(self, fd) -> bool:  # noqa: N802
        """Tell whether a socket is watched for input."""
        return bool(self._masks.get(_get_fileno(fd), 0) & READABLE)

    def isWriting(self, fd) -> bool:  # noqa: N802
        """Tell whether a socket is watched for readiness to write."""
        return bool(self._masks.get(_get_fileno(fd), 0) & WRITABLE)

    def discard(self, fd) -> None:
        """Stop watching a socket."""
        self._change_interest(None, fd, remove=READABLE | WRITABLE)

    def getTarget(self, fd):  # noqa: N802
        """Return the channel that receives the events of a socket."""
        return self._targets.get(fd, self.parent)

    def _change_interest(self, source, fd, add: int = 0, remove: int = 0) -> None:
        fileno = _get_fileno(fd)
        if fileno < 0:
            self._targets.pop(fd, None)
            return
        if fileno in self._ready_handlers:
            return
        old = self._masks.get(fileno, 0)
        new = (old | add) & ~remove
        if source is not None:
            self._targets[fd] = getattr(source, "channel", "*")
        if new == old:
            return
        if not new:
            self._epoll.unregister(fileno)
            del self._masks[fileno]
            del self._sources[fileno]
            self._targets.pop(fd, None)
            return
        if old:
            self._epoll.modify(fileno, new)
        else:
            self._epoll.register(fileno, new)
        self._masks[fileno] = new
        self._sources[fileno] = fd

    def _generate_events(self, event: generate_events) -> None:
        self.wait(event.time_left if event.time_left >= 0 else None)

    def wait(self, timeout_s: float | None) -> None:
        """Wait until descriptors are ready and handle them.

        Without a timeout the wait is unlimited.
        """
        self._flush_output()
        self.found_after = self._polled_from
        polled_from = -math.inf if self.clock is None else self.clock.now()
        found = self._epoll.poll(timeout_s, MAX_FOUND)
        handlers = self._ready_handlers
        ready = [(fileno, events, handlers.get(fileno)) for fileno, events in found]
        for fileno, events, on_ready in ready:
            # A handler may close a descriptor, and a new socket may get its number;
            # the events of the old descriptor must not be reported to the new socket.
            if on_ready is not handlers.get(fileno):
                continue
            if on_ready is not None:
                on_ready(events)
                continue
            if fileno == self._control_fd:
                self._read_ctrl()
                continue
            self._fire_readiness(fileno, events)
        if len(found) < MAX_FOUND:
            self._polled_from = polled_from
        # Requests that were just read are handled in this turn, because handling them
        # in the next turn would cost another event and another poll for each.
        self.flushEvents()
        self._flush_output()

    def _flush_output(self) -> None:
        # A flush may queue another one, as an answer that is flushed queues output
        # of its connection. Each object is removed from the queue before its flush,
        # so that an exception in one flush does not prevent the others.
        while self._flushables:
            self._flushables.popleft().flush()

    def _fire_readiness(self, fileno: int, events: int) -> None:
        source = self._sources.get(fileno)
        if source is None:
            return
        target = self._targets.get(source, self.parent)
        if events & HUNG_UP and not events & READABLE:
            self.fire(_disconnect(source), target)
            self.discard(source)
            return
        if events & READABLE:
            self.fire(_read(source), target)
        if events & WRITABLE:
            self.fire(_write(source), target)


def estimate_arrival(arrived_after: float, now: float) -> float:
    """Return the approximate time at which something arrived that was found just now.

    It had not arrived at `arrived_after`. Only a difference of more than PROMPT_S, as
    after a suspension, makes the time earlier than now.
    """
    return now if now <= arrived_after + PROMPT_S else arrived_after


def _get_fileno(fd) -> int:
    if isinstance(fd, int):
        return fd
    return fd.fileno()
