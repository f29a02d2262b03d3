"""Adapters that forward events of one part of a node to its other parts.

The node is a circuits component and cannot derive from an abstract base class, as the
two have different metaclasses. So these adapters implement the observer interfaces.
"""

import eliot

from flamingobank.core import NodeId, Revision
from flamingobank.health import WorkOutcome
from flamingobank.membership import Member
from flamingobank.node.callers.key_wire import unpack_key_message
from flamingobank.node.knowledge.configuration_wire import unpack_peer_message
from flamingobank.node.knowledge.members import MemberObserver
from flamingobank.node.links.links import Link, LinkObserver
from flamingobank.node.links.remote import ServedStream
from flamingobank.node.parts import NodeParts
from flamingobank.node.servers.crash_reports import CrashReports
from flamingobank.node.servers.dispatcher import DispatchObserver
from flamingobank.node.servers.ejections import EjectionController
from flamingobank.node.servers.floor_wire import unpack_floor_message
from flamingobank.node.servers.requests import HomeRequest
from flamingobank.node.servers.servers import Server
from flamingobank.wire import (
    CrashClearance,
    CrashNotice,
    DirectoryDigest,
    DirectorySummary,
    DirectoryUpdate,
    FloorNotice,
    KeyNotice,
    Message,
    OpenRequest,
)


class NodeLinkObserver(LinkObserver):
    """Forward the messages and refusals of links to the parts of a node."""

    def __init__(self, node: NodeParts) -> None:
        self._node = node

    def on_control_message(self, link: Link, message: Message) -> None:
        node = self._node
        if isinstance(message, DirectoryUpdate):
            node.directory_sync.receive(message)
        elif isinstance(message, FloorNotice):
            floor_message = unpack_floor_message(message)
            if floor_message is not None:
                node.ejections.receive(floor_message)
        elif isinstance(message, DirectoryDigest):
            node.directory_sync.answer_digest(link, message)
        elif isinstance(message, DirectorySummary):
            node.directory_sync.answer_summary(link, message)
        elif isinstance(message, CrashNotice | CrashClearance):
            if self._is_new_crash_message(message):
                node.directory_sync.broadcast(message)
        elif isinstance(message, KeyNotice):
            key_message = unpack_key_message(message)
            if key_message is not None:
                node.keyed.receive(NodeId(link.peer), key_message)
        else:
            peer_message = unpack_peer_message(message)
            if peer_message is not None:
                node.configuration.receive(NodeId(link.peer), peer_message)

    def on_stream_message(self, link: Link, stream: int, message: Message) -> None:
        # Only an OpenRequest opens a stream. Any other message belongs to a stream that
        # has ended on this node and is discarded.
        if isinstance(message, OpenRequest):
            ServedStream(self._node.serve, link, stream, message)

    def on_link_refused(self, peer: str, reason: str) -> None:
        refused = self._node.refused_links
        refused[reason] = refused.get(reason, 0) + 1
        eliot.log_message(message_type="links:refused", peer=peer, why=reason)

    def _is_new_crash_message(self, message: Message) -> bool:
        if isinstance(message, CrashNotice):
            return self._node.crashes.receive_report(message)
        if isinstance(message, CrashClearance):
            return self._node.crashes.receive_clearance(message)
        return False


class NodeMemberObserver(MemberObserver):
    """Forward membership events to the parts of a node."""

    def __init__(self, node: NodeParts) -> None:
        self._node = node

    def on_initial_sync(self) -> None:
        self._node.directory_sync.compare_now()
        self._node.directory_sync.announce_change()

    def on_member_joined(self, member: Member) -> None:
        self._node.directory_sync.restore(member.node_id)

    def on_member_gone(self, member: Member) -> None:
        self._node.directory.remove(member.node_id)
        self._node.keyed.on_member_gone(member)

    def on_revision_seen(self, node: NodeId, revision: Revision) -> None:
        self._node.configuration.observe_revision(node, revision)

    def on_paused(self, gap_s: float) -> None:
        # The directory may have missed updates. The ledger of floor leases needs no
        # call here, as it detects a pause by the clock.
        self._node.directory_sync.compare_now()
        self._node.directory_sync.announce_change()


class NodeDispatchObserver(DispatchObserver):
    """Forward the outcomes of requests to ejections and crash reports."""

    def __init__(self, ejections: EjectionController, crashes: CrashReports) -> None:
        self._ejections = ejections
        self._crashes = crashes

    def on_outcome(self, server: Server, outcome: WorkOutcome) -> None:
        self._ejections.on_outcome(server, outcome)

    def on_crash(self, request: HomeRequest, server: Server, detail: str) -> None:
        self._crashes.report(request, server, detail)

    def on_completed(self, request: HomeRequest) -> None:
        self._crashes.report_completion(request)

    def is_quarantined(self, request: HomeRequest) -> bool:
        return self._crashes.is_quarantined(request)

    def is_suspect(self, request: HomeRequest) -> bool:
        return self._crashes.is_suspect(request)
