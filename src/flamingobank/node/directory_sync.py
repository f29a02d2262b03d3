"""Tell other nodes which services this node is home of, and learn theirs."""

import itertools
import math
import random
from collections.abc import Callable

from flamingobank.core import Clock, FailureDomain, NodeId
from flamingobank.directory import DirectoryTable
from flamingobank.loop import Address, Timers
from flamingobank.node.dispatcher import Dispatcher
from flamingobank.node.links import CONTROL_STREAM, Links
from flamingobank.settings import NodeSettings
from flamingobank.wire import DirectoryUpdate, Message

REFRESH_S = 1.0
EXPIRY_S = 3.5
# Changes within this time travel in one update.
COALESCE_S = 0.05
BROADCAST_EXTRA = 4


class DirectorySync:
    """Send this node's entry to the known nodes when it changes."""

    def __init__(
        self,
        settings: NodeSettings,
        boot: str,
        clock: Clock,
        timers: Timers,
        directory: DirectoryTable,
        dispatcher: Dispatcher,
        links: Links,
        rng: random.Random,
    ) -> None:
        self.leaving = False
        self.read_revision: Callable[[], int] = lambda: 0
        self._settings = settings
        self._boot = boot
        self._clock = clock
        self._timers = timers
        self._directory = directory
        self._dispatcher = dispatcher
        self._links = links
        self._rng = rng
        self._sequence = itertools.count(1)
        self._heard_at: dict[str, float] = {}
        self._send_pending = False
        timers.call_soon(self._send)
        timers.call_every(REFRESH_S, self._refresh)

    def list_domain_nodes(self, domain: FailureDomain) -> dict[NodeId, Address]:
        """Return the server-facing addresses of live nodes; "" means all domains."""
        found = {}
        for update in self._directory.list_updates():
            if update.leaving or not self._is_live(update.home):
                continue
            if domain and update.failure_domain != domain:
                continue
            found[NodeId(update.home)] = (update.servers_host, update.servers_port)
        return found

    def announce_change(self) -> None:
        """Send an update soon."""
        if self._send_pending:
            return
        self._send_pending = True
        self._timers.call_at(self._clock.now() + COALESCE_S, self._send)

    def receive(self, update: DirectoryUpdate) -> None:
        """Apply an update of another node."""
        if update.home == self._settings.node_id:
            return
        known = update.home in self._heard_at
        self._heard_at[update.home] = self._clock.now()
        self._directory.apply(update)
        if not known:
            self.announce_change()

    def find_address(self, node: NodeId) -> Address | None:
        """Return where a node takes links, or None when it is not known."""
        update = self._directory.get_update(node)
        return None if update is None else (update.host, update.port)

    def broadcast(self, message: Message) -> None:
        """Send a message to random nodes, which pass it on when it is new to them."""
        others = [
            (update.host, update.port)
            for update in self.list_members()
            if update.home != self._settings.node_id
        ]
        # ln(n) + c targets a node reach all n nodes but for a share of exp(-c) / n.
        count = min(len(others), math.ceil(math.log(len(others) + 1)) + BROADCAST_EXTRA)
        for address in self._rng.sample(others, count):
            self._links.get(address).send(CONTROL_STREAM, message)

    def send_leaving(self) -> None:
        """Tell all nodes that this one takes no new work."""
        self.leaving = True
        self._send()

    def count_nodes_at(self, revision: int) -> tuple[int, int]:
        """Return how many live nodes have a revision in force, and how many live."""
        live = [
            update
            for update in self._directory.list_updates()
            if self._is_live(update.home) and not update.leaving
        ]
        return sum(1 for update in live if update.revision >= revision), len(live)

    def list_members(self) -> list[DirectoryUpdate]:
        """Return the newest update of each live node."""
        return [
            update
            for update in self._directory.list_updates()
            if self._is_live(update.home)
        ]

    def _is_live(self, home: str) -> bool:
        if home == self._settings.node_id:
            return True
        heard_at = self._heard_at.get(home, float("-inf"))
        return heard_at > self._clock.now() - EXPIRY_S

    def _refresh(self) -> None:
        for home in list(self._heard_at):
            if not self._is_live(home):
                self._directory.remove(home)
                del self._heard_at[home]
        self._send()

    def _send(self) -> None:
        self._send_pending = False
        update = self._make_update()
        self._directory.apply(update)
        addresses = set(self._settings.seeds)
        for other in self._directory.list_updates():
            if other.home != update.home:
                addresses.add((other.host, other.port))
        addresses.discard(self._settings.peers)
        for address in addresses:
            self._links.get(address).send(CONTROL_STREAM, update)

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
            self.read_revision(),
            settings.servers[0],
            settings.servers[1],
        )
