"""Forward the links to one sidecar, and delay, cut, reset or silence some of them."""

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

# Probability that a fault affects a link that is open when the fault begins or that is
# opened while it lasts.
AFFECTED_LINK_SHARE = 0.6
# Range of delays: the smallest is shorter than the time for which an entry waits for a
# reaction to an offer; the largest is about half the time without input after which a
# sidecar closes a link.
DELAYS_S = (0.01, 0.4)


class ProxyMode(enum.Enum):
    """What the proxy does to the affected links."""

    PASSING = "passing"
    DELAYED = "delayed"
    RESET = "reset"
    # Discards the bytes that the entry sends.
    CUT_TOWARDS = "cut-towards"
    # Discards the bytes that the home sends.
    CUT_BACK = "cut-back"
    # Discards the bytes of both directions.
    SILENT = "silent"


class LinkEnd(ConnectionHandler):
    """One end of a link, whose received bytes are forwarded to the other end."""

    def __init__(
        self, link: "ProxiedLink", dropping_modes: tuple[ProxyMode, ...]
    ) -> None:
        self.connection: Connection | None = None
        self.other_end: LinkEnd | None = None
        self._link = link
        self._dropping_modes = dropping_modes

    def on_connected(self) -> None:
        """Do nothing: the connection itself buffers bytes written before it is open."""

    def on_data(self, data: bytes) -> None:
        self._link.forward(self.other_end, data, self._dropping_modes)

    def on_closed(self, reason: str) -> None:
        self._link.close_other_end(self.other_end)


class ProxiedLink:
    """A connection from an entry, joined with a connection to the home."""

    def __init__(self, proxy: "LinkProxy", sock: socket.socket) -> None:
        self.mode = ProxyMode.PASSING
        self._proxy = proxy
        self._delayed_until = 0.0
        entry = LinkEnd(self, (ProxyMode.CUT_TOWARDS, ProxyMode.SILENT))
        home = LinkEnd(self, (ProxyMode.CUT_BACK, ProxyMode.SILENT))
        entry.other_end, home.other_end = home, entry
        self._ends = (entry, home)
        entry.connection = Connection(proxy.poller, sock, entry, connecting=False)
        home.connection = connect(proxy.poller, proxy.target, home)

    def forward(
        self, destination: LinkEnd, data: bytes, dropping_modes: tuple[ProxyMode, ...]
    ) -> None:
        """Forward bytes at once or delayed, or discard them, depending on the mode.

        A link that discarded bytes never forwards bytes again.
        """
        if self.mode in dropping_modes:
            return
        now = self._proxy.clock.now()
        if self.mode is ProxyMode.DELAYED:
            self._delayed_until = max(self._delayed_until, now + self._proxy.delay_s)
        if self._delayed_until <= now:
            destination.connection.write(data)
            return
        # Bytes keep their order when the delay mode ends while bytes are still delayed.
        self._proxy.timers.call_at(
            self._delayed_until, lambda: destination.connection.write(data)
        )

    def reset(self) -> None:
        """Reset both connections."""
        for link_end in self._ends:
            link_end.connection.reset("proxy")

    def close_other_end(self, other_end: LinkEnd) -> None:
        """Close the other connection after one has ended, once its output is sent."""
        self._proxy.links.discard(self)
        if other_end.connection is not None:
            other_end.connection.close_after_output()


class LinkProxy:
    """Proxy between the entries and one home, with a fault mode."""

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
        self.links: set[ProxiedLink] = set()
        self.delay_s = 0.0
        # Number of times that a fault has affected a link.
        self.affected_link_count = 0
        self._rng = rng
        self._mode = ProxyMode.PASSING
        self.address = Listener(poller, address, self._accept).address

    def set_mode(self, mode: ProxyMode) -> None:
        """Apply a fault to some of the links, or end it with ``PASSING``.

        At the end, links that discarded bytes are reset.
        """
        self._mode = mode
        self.delay_s = self._rng.uniform(*DELAYS_S)
        for link in list(self.links):
            if mode is ProxyMode.PASSING:
                if link.mode not in (ProxyMode.PASSING, ProxyMode.DELAYED):
                    link.reset()
                link.mode = mode
                continue
            if self._rng.random() < AFFECTED_LINK_SHARE:
                self._apply_fault(link)

    def silence_open_links(self) -> None:
        """Discard what is sent on the open links from now on, for good."""
        for link in self.links:
            link.mode = ProxyMode.SILENT
        self.affected_link_count += len(self.links)
        # The end of another fault must not reset them.
        self.links.clear()

    def _apply_fault(self, link: ProxiedLink) -> None:
        self.affected_link_count += 1
        if self._mode is ProxyMode.RESET:
            link.reset()
            return
        link.mode = self._mode

    def _accept(self, sock: socket.socket) -> None:
        link = ProxiedLink(self, sock)
        self.links.add(link)
        if (
            self._mode is not ProxyMode.PASSING
            and self._rng.random() < AFFECTED_LINK_SHARE
        ):
            self._apply_fault(link)
