"""Carry the links to one sidecar, and delay, cut or silence some of them."""

import enum
import random
import socket

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    Connection,
    ConnectionHandler,
    Listener,
    Poller,
    Timers,
    connect,
)

# A fault strikes each open link with this probability; links opened meanwhile as well.
STRUCK_SHARE = 0.6
# From less than an offer waits for a reaction to half the time that gives a link up.
DELAYS_S = (0.01, 0.4)


class ProxyMode(enum.Enum):
    """Say what happens to the links."""

    PASSING = "passing"
    DELAYED = "delayed"
    RESET = "reset"
    # What the entry sends is lost, or what the home sends, or both.
    CUT_TOWARDS = "cut-towards"
    CUT_BACK = "cut-back"
    SILENT = "silent"


class Side(ConnectionHandler):
    """Receive from one end of a link."""

    def __init__(self, pair: "Pair", drops_in: tuple[ProxyMode, ...]) -> None:
        self.connection: Connection | None = None
        self.other: Side | None = None
        self._pair = pair
        self._drops_in = drops_in

    def on_connected(self) -> None:
        """Go on; what was received meanwhile waits in the connection."""

    def on_data(self, data: bytes) -> None:
        self._pair.carry(self.other, data, self._drops_in)

    def on_closed(self, reason: str) -> None:
        self._pair.end(self.other)


class Pair:
    """Join the connection of an entry with one to its home."""

    def __init__(self, proxy: "LinkProxy", sock: socket.socket) -> None:
        self.mode = ProxyMode.PASSING
        self._proxy = proxy
        self._free_at = 0.0
        entry = Side(self, (ProxyMode.CUT_TOWARDS, ProxyMode.SILENT))
        home = Side(self, (ProxyMode.CUT_BACK, ProxyMode.SILENT))
        entry.other, home.other = home, entry
        self._sides = (entry, home)
        entry.connection = Connection(proxy.poller, sock, entry, connecting=False)
        home.connection = connect(proxy.poller, proxy.target, home)

    def carry(
        self, receiver: Side, data: bytes, dropped_in: tuple[ProxyMode, ...]
    ) -> None:
        """Pass bytes on, late, or not at all; a cut link never carries bytes again."""
        if self.mode in dropped_in:
            return
        now = self._proxy.clock.now()
        if self.mode is ProxyMode.DELAYED:
            self._free_at = max(self._free_at, now + self._proxy.delay_s)
        if self._free_at <= now:
            receiver.connection.write(data)
            return
        # Bytes keep their order when the delay ends.
        self._proxy.timers.call_at(
            self._free_at, lambda: receiver.connection.write(data)
        )

    def reset(self) -> None:
        """Break both connections."""
        for side in self._sides:
            side.connection.reset("proxy")

    def end(self, other: Side) -> None:
        """Close the other connection once one has ended."""
        self._proxy.pairs.discard(self)
        if other.connection is not None:
            other.connection.close_after_output()


class LinkProxy:
    """Stand between the entries and one home."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        address: Address,
        target: Address,
    ) -> None:
        self.poller = poller
        self.timers = timers
        self.clock = clock
        self.target = target
        self.pairs: set[Pair] = set()
        self.delay_s = 0.0
        # Links that a fault has struck so far.
        self.struck_count = 0
        self._rng = rng
        self._mode = ProxyMode.PASSING
        self.address = Listener(poller, address, self._accept).address

    def set_mode(self, mode: ProxyMode) -> None:
        """Strike links with a fault, or end it; a link that lost bytes is reset."""
        self._mode = mode
        self.delay_s = self._rng.uniform(*DELAYS_S)
        for pair in list(self.pairs):
            if mode is ProxyMode.PASSING:
                if pair.mode not in (ProxyMode.PASSING, ProxyMode.DELAYED):
                    pair.reset()
                pair.mode = mode
                continue
            if self._rng.random() < STRUCK_SHARE:
                self._strike(pair)

    def _strike(self, pair: Pair) -> None:
        self.struck_count += 1
        if self._mode is ProxyMode.RESET:
            pair.reset()
            return
        pair.mode = self._mode

    def _accept(self, sock: socket.socket) -> None:
        pair = Pair(self, sock)
        self.pairs.add(pair)
        if self._mode is not ProxyMode.PASSING and self._rng.random() < STRUCK_SHARE:
            self._strike(pair)
