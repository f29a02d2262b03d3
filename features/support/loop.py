"""Drive the circuits loop of one process until a condition holds."""

import socket

from circuits import Component
from circuits.core.events import generate_events

from flamingobank.core import MonotonicClock, VirtualClock
from flamingobank.loop import Poller, Timers

MAX_TURNS = 20_000
TURN_S = 0.005
LOCAL = ("127.0.0.1", 0)


class TestLoop(Component):
    """Hold a poller and timers, and record exceptions of handlers."""

    def __init__(self, clock=None):
        super().__init__()
        self.clock = clock or MonotonicClock()
        self.poller = Poller().register(self)
        self.timers = Timers(self.clock).register(self)
        self.errors = []

    def exception(self, kind, error, trace, handler=None, fevent=None):
        """Keep an exception, so that a scenario fails for it."""
        self.errors.append(f"{kind.__name__}: {error}")

    def turn(self, wait_s=TURN_S):
        """Run one turn of the loop."""
        self.fire(generate_events(self._lock, wait_s), "*")
        while len(self):
            self.flush()
        assert not self.errors, self.errors

    def run_until(self, condition, what):
        """Turn the loop until a condition holds; turns bound it, not time."""
        for _ in range(MAX_TURNS):
            if condition():
                return
            self.turn()
        raise AssertionError(f"not reached in {MAX_TURNS} turns: {what}")

    def advance(self, seconds, turns=3):
        """Move a virtual clock and run what is due."""
        assert isinstance(self.clock, VirtualClock)
        self.clock.advance_to(self.clock.now() + seconds)
        for _ in range(turns):
            self.turn(0)


class RawPeer:
    """Speak bytes to a listening part of the program from the same process."""

    def __init__(self, address, receive_bytes=0):
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.connect(address)
        # Small pieces would otherwise wait for delayed acknowledgements.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.received = b""
        # "" while open, then "end" after a regular close and "reset" after a reset.
        self.ended = ""

    def send(self, data):
        """Send what the socket takes; return the rest."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            self.ended = self.ended or "reset"
            return b""

    def poll(self):
        """Receive what has come."""
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
        """Leave."""
        self.sock.close()
