"""UDP endpoint for the circuits loop."""

import math
import socket
from collections.abc import Callable

from flamingobank.loop.connections import Address
from flamingobank.loop.poller import READABLE, Poller

DATAGRAM_BYTES = 65535
# Limits the time that one turn of the loop spends on datagrams.
DATAGRAMS_PER_TURN = 64


class DatagramEndpoint:
    """UDP socket that passes received datagrams to a callback."""

    def __init__(
        self,
        poller: Poller,
        address: Address,
        on_datagram: Callable[[bytes, Address], None],
    ) -> None:
        self._poller = poller
        self._on_datagram = on_datagram
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        # A time before the arrival of the datagrams that are being passed on. It needs
        # the poller's clock.
        self.arrived_after = -math.inf
        self._is_drained = True
        poller.register_direct(self._sock.fileno(), READABLE, self._on_ready)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._sock.getsockname()

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; a failure is ignored, as the loss of a datagram is."""
        try:
            self._sock.sendto(data, address)
        except OSError:
            return

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._poller.unregister_direct(self._sock.fileno())
        self._sock.close()

    def _on_ready(self, events: int) -> None:
        if self._is_drained:
            self.arrived_after = self._poller.found_after
        self._is_drained = False
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, address = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                self._is_drained = True
                return
            except OSError:
                return
            self._on_datagram(data, address)
