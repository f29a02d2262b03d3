"""Dispatch messages of peers that belong to no request of this process's entry."""

from collections.abc import Callable

from flamingobank.core import NodeId
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.homes.home import Home
from flamingobank.sidecar.links.channels import MessageChannel, PeerObserver
from flamingobank.sidecar.links.links import Link, LinkObserver
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import (
    Message,
    QuotaGrant,
    QuotaRequest,
    QuotaVote,
    QuotaVoteRequest,
    ReportPush,
    TablePull,
    TableUpdate,
)
from flamingobank.sidecar.routing_table_sync import RoutingTableSync
from flamingobank.sidecar.workspaces.quota_sync import QuotaSync


class PeerMessageHandler(LinkObserver, PeerObserver):
    """Pass messages of peers to the entry, the home or the routing table sync."""

    def __init__(
        self,
        entry: Entry,
        home: Home,
        table_sync: RoutingTableSync,
        quotas: QuotaSync,
        find_node: Callable[[Link | LocalLink], NodeId | None],
        remove_channel: Callable[[MessageChannel], None],
    ) -> None:
        self._entry = entry
        self._home = home
        self._table_sync = table_sync
        self._quotas = quotas
        self._find_node = find_node
        self._remove_channel = remove_channel

    def on_control_message(self, link: Link | LocalLink, message: Message) -> None:
        if isinstance(message, ReportPush):
            node = self._find_node(link)
            if node is not None:
                self._entry.note_report(node, message.report)
        elif isinstance(message, TableUpdate):
            self._table_sync.take(message, self._find_node(link) or "unknown peer")
        elif isinstance(message, QuotaGrant | QuotaVote):
            self._quotas.on_answer(self._find_node(link), message)

    def on_peer_message(self, channel: MessageChannel, message: Message) -> None:
        if self._home.receive(channel, message):
            return
        if isinstance(message, TablePull):
            self._table_sync.answer_pull(channel)
        elif isinstance(message, QuotaRequest | QuotaVoteRequest):
            self._quotas.answer(channel, message)

    def on_channel_closed(self, channel: MessageChannel) -> None:
        self._remove_channel(channel)
        self._home.on_channel_closed(channel)
