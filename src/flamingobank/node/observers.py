"""Pass what happens in one part of a node to the others.

A circuits component cannot derive from an abstract base class, as the two have
different metaclasses; these adapters stand between.
"""

from typing import TYPE_CHECKING

import eliot

from flamingobank.core import NodeId, Revision
from flamingobank.health import Outcome
from flamingobank.membership import Member
from flamingobank.node.crashes import Crashes
from flamingobank.node.dispatcher import DispatchObserver
from flamingobank.node.ejections import Ejections
from flamingobank.node.links import Link, LinkObserver
from flamingobank.node.members import MemberObserver
from flamingobank.node.remote import ServedStream
from flamingobank.node.requests import HomeRequest
from flamingobank.node.servers import Server
from flamingobank.wire import Message, OpenRequest

if TYPE_CHECKING:
    from flamingobank.node.daemon import Node


class NodeLinkObserver(LinkObserver):
    """Pass what happens on links to the parts of a node."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def on_control_message(self, link: Link, message: Message) -> None:
        self._node.receive(link, message)

    def on_stream_message(self, link: Link, stream: int, message: Message) -> None:
        # Messages of streams that have ended here are discarded.
        if isinstance(message, OpenRequest):
            ServedStream(self._node.serve, link, stream, message)

    def on_link_refused(self, peer: str, reason: str) -> None:
        refused = self._node.refused_links
        refused[reason] = refused.get(reason, 0) + 1
        eliot.log_message(message_type="links:refused", peer=peer, why=reason)


class NodeMemberObserver(MemberObserver):
    """Pass changes in the fleet to the parts of a node."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def on_joined(self) -> None:
        self._node.sync.compare_now()
        self._node.sync.announce_change()

    def on_member_joined(self, member: Member) -> None:
        self._node.sync.restore(member.node_id)

    def on_member_gone(self, member: Member) -> None:
        self._node.directory.remove(member.node_id)
        self._node.keyed.on_member_gone(member)

    def on_revision_seen(self, node: NodeId, revision: Revision) -> None:
        self._node.configuration.observe_revision(node, revision)

    def on_paused(self, gap_s: float) -> None:
        # Floor leases notice the pause themselves; the directory may be old.
        self._node.sync.compare_now()
        self._node.sync.announce_change()


class NodeDispatchObserver(DispatchObserver):
    """Pass what happens to work on servers to the judges of a node."""

    def __init__(self, ejections: Ejections, crashes: Crashes) -> None:
        self._ejections = ejections
        self._crashes = crashes

    def on_outcome(self, server: Server, outcome: Outcome) -> None:
        self._ejections.on_outcome(server, outcome)

    def on_crash(self, request: HomeRequest, server: Server, detail: str) -> None:
        self._crashes.report(request, server, detail)

    def on_completed(self, request: HomeRequest) -> None:
        self._crashes.report_completion(request)

    def is_quarantined(self, request: HomeRequest) -> bool:
        return self._crashes.is_quarantined(request)

    def is_suspect(self, request: HomeRequest) -> bool:
        return self._crashes.is_suspect(request)
