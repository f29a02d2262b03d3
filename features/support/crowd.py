"""Crowd of clients on loopback that keeps sending or reading within its own limits."""

import socket
import time

# A crowd that neither sends nor reads anything for this long has done what it can, as
# flow control stops it.
STILL_S = 3.0
# Limits the time of a test whose process hangs; no test passes or fails by it.
MAX_CROWD_S = 240.0
SEND_BYTES = 65536


class CrowdClient:
    """One connection that sends prepared pieces, and reads up to a limit."""

    def __init__(self, address, pieces, read_bytes=0, receive_buffer_bytes=0):
        self.closed = False
        self._pieces = iter(pieces)
        self._output = memoryview(b"")
        self._sent = False
        self._unread_bytes = read_bytes
        self._sock = socket.socket()
        if receive_buffer_bytes:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._sock.settimeout(10.0)
        self._sock.connect(address)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setblocking(False)

    @property
    def done(self):
        """Return whether everything is sent, or the connection has ended."""
        return self.closed or (self._sent and not self._unread_bytes)

    def send_next(self):
        """Send one piece, or the rest of one; return whether anything was sent."""
        if self.closed or self._sent:
            return False
        if not self._output:
            piece = next(self._pieces, None)
            if piece is None:
                self._sent = True
                return True
            self._output = memoryview(piece)
        try:
            count = self._sock.send(self._output[:SEND_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self.closed = True
            return True
        self._output = self._output[count:]
        return True

    def read_next(self):
        """Read a little of the answer; return whether anything was read."""
        if self.closed or not self._unread_bytes:
            return False
        try:
            count = len(self._sock.recv(min(1024, self._unread_bytes)))
        except BlockingIOError:
            return False
        except OSError:
            count = 0
        self.closed = not count
        self._unread_bytes -= count
        return True

    def close(self):
        """Close the connection."""
        self._sock.close()


def run_crowd(clients):
    """Let clients send and read in turn until all are done or none gets any further."""
    started_at = moved_at = time.monotonic()
    while True:
        open_clients = [client for client in clients if not client.done]
        now = time.monotonic()
        if not open_clients or now > moved_at + STILL_S:
            return
        assert now < started_at + MAX_CROWD_S, "the crowd does not come to an end"
        moved = False
        for client in open_clients:
            sent = client.send_next()
            moved = client.read_next() or sent or moved
        if moved:
            moved_at = now
            continue
        time.sleep(0.01)
