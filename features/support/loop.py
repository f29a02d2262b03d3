"""Test support that runs a circuits loop until a condition holds."""

import socket

from circuits import Component
from circuits.core.events import generate_events

from flamingobank.core import MonotonicClock, VirtualClock
from flamingobank.loop import Poller, Timers

MAX_TURNS = 20_000
TURN_S = 0.005
LOCAL = ("127.0.0.1", 0)


class TestLoop(Component):
    """Event loop for tests, which fails on exceptions of event handlers."""

    def __init__(self, clock=None):
        super().__init__()
        self.clock = clock or MonotonicClock()
        self.poller = Poller().register(self)
        self.poller.clock = self.clock
        self.timers = Timers(self.clock).register(self)
        self.errors = []

    def exception(self, kind, error, trace, handler=None, fevent=None):
        """Record an exception, so that the next turn fails the scenario."""
        self.errors.append(f"{kind.__name__}: {error}")

    def turn(self, wait_s=TURN_S):
        """Run one turn of the loop."""
        self.fire(generate_events(self._lock, wait_s), "*")
        while len(self):
            self.flush()
        assert not self.errors, self.errors

    def run_until(self, condition, what):
        """Run turns of the loop until a condition holds.

        The number of turns is limited rather than the time, so that a slow machine
        does not fail the test.
        """
        for _ in range(MAX_TURNS):
            if condition():
                return
            self.turn()
        raise AssertionError(f"no success within {MAX_TURNS} turns: {what}")

    def advance(self, seconds, turns=3):
        """Advance the virtual clock and run the callbacks that are due."""
        assert isinstance(self.clock, VirtualClock)
        self.clock.advance_to(self.clock.now() + seconds)
        for _ in range(turns):
            self.turn(0)


class RawPeer:
    """Raw TCP client for a listener that runs in the same process."""

    def __init__(self, address, receive_bytes=0):
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.connect(address)
        # Without this option, small writes would wait for delayed acknowledgements.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.received = b""
        # Empty while the connection is open, "end" after a regular close by the peer
        # and "reset" after an error.
        self.ended = ""

    def send(self, data):
        """Send as much as the socket accepts and return the rest."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            self.ended = self.ended or "reset"
            return b""

    def poll(self):
        """Receive the bytes that have arrived and return this object."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return self
        except OSError:
            self.ended = self.ended or "reset"
            return self
        self.received += data
        if not data:
            self.ended = self.ended or "end"
        return self

    def close(self):
        """Close the socket."""
        self.sock.close()
