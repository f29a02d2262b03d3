"""Interface of a node for its observers, its status and its store parts."""

from typing import Protocol

from flamingobank.core import BootId, Clock
from flamingobank.directory import DirectoryTable
from flamingobank.loop import Poller, Timers
from flamingobank.node.callers.entry import Entry
from flamingobank.node.callers.keyed_requests import KeyedRequests
from flamingobank.node.knowledge.configuration_sync import ConfigurationSync
from flamingobank.node.knowledge.directory_sync import DirectorySync
from flamingobank.node.knowledge.members import MembershipService
from flamingobank.node.knowledge.store_watch import StoreWatch
from flamingobank.node.links.exchange import AnswerSink, RunningRequest
from flamingobank.node.servers.crash_reports import CrashReports
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.ejections import EjectionController
from flamingobank.settings import NodeSettings
from flamingobank.wire import OpenRequest


class NodeParts(Protocol):
    """The parts of one node.

    This is a protocol because the node is a circuits component, which cannot derive
    from an abstract base class.
    """

    settings: NodeSettings
    boot: BootId
    clock: Clock
    timers: Timers
    poller: Poller
    configuration: ConfigurationSync
    members: MembershipService
    directory: DirectoryTable
    directory_sync: DirectorySync
    store_watch: StoreWatch | None
    dispatcher: Dispatcher
    ejections: EjectionController
    crashes: CrashReports
    entry: Entry
    keyed: KeyedRequests
    # Number of refused links by reason.
    refused_links: dict[str, int]

    def serve(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request that another node sent."""
