"""Apply routing tables from the store and from peers, and ignore older versions."""

from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.loop import TimerHandle, Timers
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import PeerRecord
from flamingobank.sidecar.fleet.routes import RoutingTable, pack_table, unpack_table
from flamingobank.sidecar.links.channels import MessageChannel
from flamingobank.sidecar.links.links import LinkPool
from flamingobank.sidecar.links.messages import TablePull, TableUpdate

# Many peers report a new version at the same time. After a request to one of them, no
# other is sent for this time.
MIN_PULL_INTERVAL_S = 0.3
# A peer that has not sent its table after this time is taken to be out of reach. Over
# a working link the table arrives within a few milliseconds.
PULL_TIMEOUT_S = 0.3


class RoutingTableSync:
    """Keep the entry's routing table at the newest version that any peer has."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        event_log: EventLog,
        links: LinkPool,
        entry: Entry,
        on_applied: Callable[[int], None],
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._event_log = event_log
        self._links = links
        self._entry = entry
        self._on_applied = on_applied
        self._pulled_at = float("-inf")
        self._pull_timeout: TimerHandle | None = None

    @property
    def version(self) -> int:
        """Return the version of the current table, 0 before the first."""
        table = self._entry.table
        return table.version if table is not None else 0

    def apply(self, table: RoutingTable, source: str) -> None:
        """Apply a table if it is newer than the current one.

        `source` is "store" or the peer that sent the table, for the log.
        """
        if self._entry.table is not None and table.version <= self.version:
            return
        self._entry.table = table
        self._event_log.event(
            "configuration:applied",
            version=table.version,
            routes=len(table.routes),
            source=source,
        )
        self._on_applied(table.version)

    def note_version(self, peer: PeerRecord, version: int) -> None:
        """Request a peer's table if its version is newer."""
        now = self._clock.now()
        if version <= self.version or now < self._pulled_at + MIN_PULL_INTERVAL_S:
            return
        self._pulled_at = now
        self._event_log.event(
            "configuration:requested", version=version, peer=peer.node
        )
        self._links.get(peer.address).send(TablePull())
        self._pull_timeout = self._timers.call_at(
            now + PULL_TIMEOUT_S, lambda: self._on_pull_timeout(peer, version, now)
        )

    def answer_pull(self, channel: MessageChannel) -> None:
        """Send the current table to a peer, if there is one."""
        if self._entry.table is not None:
            channel.send(TableUpdate(pack_table(self._entry.table)))

    def take(self, message: TableUpdate, source: str) -> None:
        """Decode and apply a table that a peer sent."""
        if self._pull_timeout is not None:
            self._pull_timeout.cancel()
        try:
            table = unpack_table(message.table)
        except (ValueError, TypeError) as error:
            self._event_log.warn("configuration:malformed", error=str(error))
            return
        self.apply(table, source)

    def _on_pull_timeout(self, peer: PeerRecord, version: int, sent_at: float) -> None:
        self._event_log.event(
            "configuration:unanswered", version=version, peer=peer.node
        )
        # Idle links are not checked, and this one may have gone silent. The others may
        # have too, so the same peer is asked again on a new connection.
        link = self._links.get(peer.address)
        if link.replace_if_silent(sent_at) and version > self.version:
            link.send(TablePull())
