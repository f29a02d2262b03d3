"""Process that waits for datagrams, and prints after which time the last one arrived.

It suspends itself once, at the point of its loop that its first argument names, or is
suspended from outside in a wait. The second argument is the number of datagrams.
"""

import os
import signal
import sys

from features.support.loop import LOCAL, TestLoop
from flamingobank.core import MonotonicClock
from flamingobank.loop import poller as poller_module
from flamingobank.loop.datagrams import DatagramEndpoint
from flamingobank.loop.poller import READABLE

WAIT_S = 0.2
# Turns of the loop before the one with the suspension.
CALM_TURNS = 3
SUSPENDED = "suspended"


def suspend():
    """Suspend this process until it gets SIGCONT."""
    print(SUSPENDED, flush=True)
    os.kill(os.getpid(), signal.SIGSTOP)


class SuspendingClock(MonotonicClock):
    """Clock that suspends the process before or after one reading."""

    def __init__(self):
        self.suspend_before = False
        self.suspend_after = False

    def now(self):
        """Return the current reading in seconds."""
        if self.suspend_before:
            self.suspend_before = False
            suspend()
        reading = super().now()
        if self.suspend_after:
            self.suspend_after = False
            suspend()
        return reading


class Output:
    """Output whose flush suspends the process."""

    def flush(self):
        """Suspend the process."""
        suspend()


class Receiver:
    """Event loop with a datagram endpoint and a method for each point."""

    def __init__(self):
        self.clock = SuspendingClock()
        self.loop = TestLoop(self.clock)
        self.poller = self.loop.poller
        self.poller.clock = self.clock
        self.arrived_after = []
        self.endpoint = DatagramEndpoint(
            self.poller,
            LOCAL,
            lambda data, address: self.arrived_after.append(
                self.endpoint.arrived_after
            ),
        )
        print(self.endpoint.address[1], flush=True)

    def wait(self):
        """Wait for events once; a turn of the loop would not wait."""
        try:
            self.poller.wait(WAIT_S)
        except ZeroDivisionError:
            return

    def run(self, point, count):
        """Go on until the datagrams are here, with a suspension at a point."""
        if point == "before-the-first-wait":
            suspend()
        for _ in range(CALM_TURNS):
            self.wait()
        if point:
            getattr(self, "_suspend_" + point.replace("-", "_"))()
        while len(self.arrived_after) < count:
            self.wait()
        print(max(self.arrived_after), flush=True)

    def _suspend_before_the_first_wait(self):
        """Do nothing, as that point has passed."""

    def _suspend_between_two_waits(self):
        suspend()

    def _suspend_before_the_clock_is_read(self):
        self.clock.suspend_before = True

    def _suspend_after_the_clock_is_read(self):
        self.clock.suspend_after = True

    def _suspend_in_a_flush(self):
        self.poller.flush_later(Output())

    def _suspend_in_a_handler(self):
        self._add_ready(lambda fd: (os.read(fd, 1), suspend()))

    def _suspend_before_a_turn_that_fails(self):
        # The failing handler runs first, so the datagram is found again in a later
        # turn.
        self._add_ready(lambda fd: os.read(fd, 1) and 1 / 0)
        suspend()

    def _suspend_before_a_turn_that_finds_other_events_only(self):
        poller_module.MAX_FOUND = 2
        for _ in range(poller_module.MAX_FOUND + 1):
            self._add_ready(lambda fd: None)
        self.wait()
        suspend()

    def _add_ready(self, on_ready):
        """Add a descriptor that is ready until its handler reads a byte."""
        read_fd, write_fd = os.pipe()
        self.poller.register_direct(read_fd, READABLE, lambda events: on_ready(read_fd))
        os.write(write_fd, b"x")


if __name__ == "__main__":
    Receiver().run(sys.argv[1], int(sys.argv[2]))
