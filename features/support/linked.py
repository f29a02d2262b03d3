"""An entry that reaches real homes over links with a proxy between them."""

import random

from features.support.home import HomeHarness
from features.support.loop import LOCAL
from features.support.sidecar import ExchangeHarness
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.channels import PeerObserver
from flamingobank.sidecar.links.links import LinkObserver, LinkPool
from flamingobank.sidecar.links.messages import PROTOCOL_VERSION, Hello, make_boot
from tools.soak.proxy import LinkProxy, ProxyMode

ANSWER = (
    b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"
)


class LinkedHome(PeerObserver):
    """A home with a server that works for some time, behind a proxy of its links."""

    def __init__(self, loop, name, work_s):
        self.work_s = work_s
        self.harness = HomeHarness("never answers", loop)
        self.harness.server.script = self.work
        self.loop = loop
        self.links = make_links(loop, name)
        parts = (loop.poller, loop.timers, loop.clock, random.Random(name))
        self.proxy = LinkProxy(*parts, LOCAL, self.links.listen(LOCAL, self))

    def work(self, connection, head):
        """Answer a request when the work is done."""
        self.loop.timers.call_at(
            self.loop.clock.now() + self.work_s,
            lambda: connection.connection.write(ANSWER),
        )

    @property
    def runs(self):
        """Return how many requests the server has got."""
        return len(self.harness.server.requests)

    def silence(self):
        """Lose what is sent on the open links from now on, for good."""
        for link in self.proxy.links:
            link.mode = ProxyMode.SILENT

    def on_peer_message(self, channel, message):
        self.harness.home.receive(channel, message)

    def on_channel_closed(self, channel):
        self.harness.home.on_channel_closed(channel)


class LinkedHarness(ExchangeHarness, LinkObserver):
    """An entry, its links, and real homes at their other ends."""

    def __init__(self, kind, homes, work_s, **route_fields):
        super().__init__(kind, [[]] * homes, **route_fields)
        self.linked = [
            LinkedHome(self.loop, f"h{number}", work_s) for number in range(homes)
        ]
        self.links = make_links(self.loop, "own")
        self.links.observer = self
        self.entry.get_link = self._get_link

    def _get_link(self, node):
        return self.links.get(self.linked[int(node[1:])].proxy.address)

    def on_control_message(self, link, message):
        """Ignore messages without a stream."""

    def connect(self):
        """Open a link to each home, as requests before have done."""
        for home in self.linked:
            self.links.get(home.proxy.address).connect()
        self.pass_time(0.2)

    def take(self):
        """Pass the request to the entry."""
        self.request.read_at = self.loop.clock.now()
        self.entry.take(self.request)

    def pass_time(self, seconds, step_s=0.02):
        """Let time pass, with turns for the sockets in each step."""
        for _ in range(round(seconds / step_s)):
            self.loop.advance(step_s, turns=8)


def make_links(loop, name):
    """Return the links of one process."""
    return LinkPool(
        loop.poller,
        loop.timers,
        loop.clock,
        random.Random(name),
        EventLog(name),
        Hello(PROTOCOL_VERSION, name, make_boot(name)),
    )
