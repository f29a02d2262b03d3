"""Exchange with other nodes which homes have servers of which services."""

import itertools
import math

from flamingobank.core import Clock, FailureDomain, NodeId
from flamingobank.directory import DirectoryTable
from flamingobank.loop import Address, Timers
from flamingobank.node.knowledge.members import MembershipService
from flamingobank.node.links.links import CONTROL_STREAM, Link, LinkPool
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.settings import NodeSettings
from flamingobank.wire import (
    DirectoryDigest,
    DirectorySummary,
    DirectoryUpdate,
    Message,
)

# Comparing with a peer finds the updates that a broadcast did not deliver.
COMPARE_S = 2.0
# Changes within this time are sent in one update.
COALESCE_DELAY_S = 0.05
BROADCAST_EXTRA = 4
# A summary of a peer is answered with at most this many updates; later comparisons send
# the remaining ones.
UPDATES_PER_SUMMARY = 500


class DirectorySync:
    """Broadcast this node's directory entry on changes, and compare with peers."""

    def __init__(
        self,
        settings: NodeSettings,
        boot: str,
        clock: Clock,
        timers: Timers,
        directory: DirectoryTable,
        dispatcher: Dispatcher,
        links: LinkPool,
        members: MembershipService,
    ) -> None:
        self.leaving = False
        self._settings = settings
        self._boot = boot
        self._clock = clock
        self._timers = timers
        self._directory = directory
        self._dispatcher = dispatcher
        self._links = links
        self._members = members
        self._sequence = itertools.count(1)
        self._send_pending = False
        timers.call_soon(self._broadcast_entry)
        timers.call_every(COMPARE_S, self._compare_with_peer)

    def list_domain_nodes(self, domain: FailureDomain) -> dict[NodeId, Address]:
        """Return the server-facing addresses of live nodes; "" means all domains."""
        found = {}
        for update in self._directory.list_headers(domain):
            if update.leaving or not self._members.is_live(update.home):
                continue
            found[NodeId(update.home)] = (update.servers_host, update.servers_port)
        return found

    def announce_change(self) -> None:
        """Broadcast an update of this node's entry after COALESCE_DELAY_S."""
        if self._send_pending:
            return
        self._send_pending = True
        self._timers.call_at(
            self._clock.now() + COALESCE_DELAY_S, self._broadcast_entry
        )

    def receive(self, update: DirectoryUpdate) -> None:
        """Apply an update of another node, and broadcast it if it was new."""
        if update.home == self._settings.node_id:
            return
        if not self._directory.apply(update):
            return
        if not self._members.is_live(update.home):
            self._directory.remove(update.home)
        self.broadcast(update)

    def restore(self, home: str) -> None:
        """List the services of a node again that is back in service."""
        self._directory.restore(home)

    def answer_digest(self, link: Link, message: DirectoryDigest) -> None:
        """Send a summary to a peer whose directory differs."""
        if message.digest != self._directory.compute_digest():
            summary = DirectorySummary(self._directory.summarize(), True)
            link.send(CONTROL_STREAM, summary)

    def answer_summary(self, link: Link, message: DirectorySummary) -> None:
        """Send a peer the updates it lacks, and request those that this node lacks."""
        newer = self._directory.list_newer(message.homes)
        for update in newer[:UPDATES_PER_SUMMARY]:
            link.send(CONTROL_STREAM, update)
        if message.answer and self._directory.is_behind(message.homes):
            summary = DirectorySummary(self._directory.summarize(), False)
            link.send(CONTROL_STREAM, summary)

    def compare_now(self) -> None:
        """Compare with a random member now, e.g. after joining."""
        self._compare_with_peer()

    def broadcast(self, message: Message) -> None:
        """Send a message to random nodes, which forward it if it is new to them."""
        # With ln(n) + c targets per node, where c is BROADCAST_EXTRA, a broadcast among
        # n nodes misses a share of exp(-c) / n of them.
        count = len(self._members.membership.members())
        fanout = math.ceil(math.log(count + 1)) + BROADCAST_EXTRA
        for address in self._members.pick_addresses(fanout):
            self._links.get(address).send(CONTROL_STREAM, message)

    def send_leaving(self) -> None:
        """Broadcast that this node is leaving and accepts no new work."""
        self.leaving = True
        self._broadcast_entry()

    def _compare_with_peer(self) -> None:
        digest = DirectoryDigest(self._directory.compute_digest())
        for address in self._members.pick_addresses(1):
            self._links.get(address).send(CONTROL_STREAM, digest)

    def _broadcast_entry(self) -> None:
        self._send_pending = False
        update = self._make_update()
        self._directory.apply(update)
        self.broadcast(update)

    def _make_update(self) -> DirectoryUpdate:
        settings = self._settings
        now = self._clock.now()
        services = []
        for name, pool in self._dispatcher.pools.items():
            if not pool.servers:
                continue
            usable = [server.count_usable(now) for server in pool.servers.values()]
            in_service = sum(1 for slots in usable if slots)
            services.append([name, in_service, sum(usable), list(pool.servers)])
        return DirectoryUpdate(
            settings.node_id,
            self._boot,
            next(self._sequence),
            settings.peers[0],
            settings.peers[1],
            settings.failure_domain,
            settings.region,
            self.leaving,
            services,
            settings.servers[0],
            settings.servers[1],
        )
