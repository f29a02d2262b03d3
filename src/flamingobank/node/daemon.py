"""Build the components of a node and connect them to one event loop."""

import os
import random
import signal
import time
from collections.abc import Iterable, Sequence
from functools import partial

import eliot
from circuits import handler

from flamingobank.core import InvariantError, MonotonicClock, NodeId
from flamingobank.directory import DirectoryTable
from flamingobank.health import FloorMessage
from flamingobank.loop import LoopComponent, Poller, Timers
from flamingobank.node.callers.caller_key_requests import CallerKeyRequests
from flamingobank.node.callers.entry import Entry
from flamingobank.node.callers.keyed_exchange import KeyedCallerExchange
from flamingobank.node.callers.keyed_requests import KeyedRequests
from flamingobank.node.http.http_server import HttpServer
from flamingobank.node.knowledge.configuration_sync import ConfigurationSync
from flamingobank.node.knowledge.directory_sync import DirectorySync
from flamingobank.node.knowledge.members import MembershipService
from flamingobank.node.knowledge.store_watch import StoreWatch
from flamingobank.node.links.exchange import AnswerSink, RunningRequest
from flamingobank.node.links.links import CONTROL_STREAM, LinkPool
from flamingobank.node.metrics import NodeMetrics
from flamingobank.node.observers import (
    NodeDispatchObserver,
    NodeLinkObserver,
    NodeMemberObserver,
)
from flamingobank.node.servers.announcements import AnnouncementHandler
from flamingobank.node.servers.crash_reports import CrashReports
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.ejections import EjectionController
from flamingobank.node.servers.floor_wire import (
    pack_floor_message,
)
from flamingobank.node.status import StatusPages, describe_node
from flamingobank.node.store_parts import (
    audit_decisions,
    make_store_client,
    make_store_watch,
)
from flamingobank.objects import AnyObject
from flamingobank.settings import CallerLimits, NodeSettings
from flamingobank.wire import (
    KeyedMode,
    Message,
    OpenRequest,
)

SHUTDOWN_CHECK_INTERVAL_S = 0.05
# Time for peers to be notified that the node is leaving, before it stops listening.
LEAVE_NOTICE_S = 0.3
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Limits for the listeners of servers and operators, whose announcements and requests
# are small and few.
INTERNAL_LIMITS = CallerLimits(max_connections=4096, max_body_bytes=65_536)


def hold_stop_signals() -> None:
    """Block the stop signals; the node unblocks them when its loop has started.

    A node listens from its construction on. A stop signal between that and the start of
    the loop would end the process without an answer to callers that have connected.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


def make_boot_id() -> str:
    """Return a boot id that sorts after those of this node's earlier processes."""
    return f"{time.time_ns():016x}-{os.urandom(4).hex()}"


class Node(LoopComponent):
    """The process of one node of the fleet."""

    channel = "node"

    def __init__(
        self,
        settings: NodeSettings,
        secrets: Sequence[bytes],
        items: Iterable[AnyObject] = (),
        store_token: str = "",
        seed: int | None = None,
    ) -> None:
        super().__init__(channel=self.channel)
        self.settings = settings
        self.boot = make_boot_id()
        self.clock = MonotonicClock()
        self.refused_links: dict[str, int] = {}
        self.stopping = False
        self._stop_deadline = 0.0
        self._secrets = secrets
        rng = random.Random(seed)
        self.poller = Poller().register(self)
        self.timers = Timers(self.clock).register(self)
        self.directory = DirectoryTable()
        self.dispatcher = Dispatcher(self.poller, self.timers, self.clock, rng)
        self.links = LinkPool(
            self.poller,
            self.timers,
            self.clock,
            settings.node_id,
            self.boot,
            lambda: self._secrets,
            NodeLinkObserver(self),
        )
        self.members = MembershipService(
            settings,
            self.boot,
            self.poller,
            self.timers,
            self.clock,
            rng,
            lambda: self._secrets,
        )
        self.configuration = ConfigurationSync(
            settings.failure_domain,
            self.clock,
            self.timers,
            rng,
            self.members.pick_peers,
            self._send_to_node,
        )
        self.dispatcher.list_services = self.configuration.list_services
        self.dispatcher.select_service = self.configuration.select_service
        self.configuration.on_services_changed = self._apply_services
        self.configuration.on_revision = self.members.set_revision
        self.directory_sync = DirectorySync(
            settings,
            self.boot,
            self.clock,
            self.timers,
            self.directory,
            self.dispatcher,
            self.links,
            self.members,
        )
        self.members.observer = NodeMemberObserver(self)
        self.ejections = EjectionController(
            settings.node_id,
            time.time_ns(),
            self.clock,
            self.timers,
            self.dispatcher,
            self._send_floor_message,
            self.directory.list_instances,
            self.directory_sync.announce_change,
        )
        self.crashes = CrashReports(self.clock, self.directory_sync.broadcast)
        self.dispatcher.observer = NodeDispatchObserver(self.ejections, self.crashes)
        self.announcements = AnnouncementHandler(
            settings.node_id,
            self.clock,
            self.timers,
            self.dispatcher,
            self.ejections,
            self.directory_sync.list_domain_nodes,
            self.directory_sync.announce_change,
        ).register(self)
        self.entry = Entry(
            settings.node_id,
            settings.failure_domain,
            self.clock,
            self.timers,
            self.configuration,
            self.directory,
            self.dispatcher,
            self.links,
            rng,
        ).register(self)
        self.keyed = KeyedRequests(
            settings.node_id,
            self.boot,
            settings.failure_domain,
            self.clock,
            self.timers,
            secrets,
            self.members,
            self._send_to_node,
            self.directory_sync.broadcast,
        )
        self.keyed.choose_home = self.entry.choose_home
        self.keyed.send = self.entry.send
        self.entry.keyed = self.keyed
        self.entry.is_quarantined = self.crashes.is_message_quarantined
        self.entry.make_keyed_exchange = partial(KeyedCallerExchange, keyed=self.keyed)
        self.entry.find_address = self.members.find_address
        self.metrics = NodeMetrics(settings.node_id)
        StatusPages(
            self.read_status,
            self.metrics,
            self._update_metrics,
            settings.node_id,
            self.announcements.set_draining,
        ).register(self)
        self.callers = self._serve(settings.callers, settings.limits, "callers")
        self.servers = self._serve(settings.servers, INTERNAL_LIMITS, "servers")
        self.operators = self._serve(settings.operators, INTERNAL_LIMITS, "operators")
        self.links.listen(settings.peers)
        self.store_watch = self._set_up_store(store_token, rng)
        items = list(items)
        if items:
            self.configuration.load_fixed(items)

    def read_status(self) -> dict:
        """Return the status of this node for operators."""
        self.members.request_revisions()
        return describe_node(self)

    def serve(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request of another node as its home, its keeper or a replica.

        ``message.keyed`` selects the role.
        """
        if message.keyed == KeyedMode.KEEPER:
            return self.keyed.serve(message, body, sink)
        if message.keyed == KeyedMode.REPLICA:
            return self.keyed.replay(message, body, sink)
        return self.dispatcher.dispatch(message, body, sink)

    def begin_shutdown(self) -> None:
        """Start the shutdown: notify peers, finish open requests, then stop.

        Requests that are still open at the shutdown deadline are broken off.
        """
        if self.stopping:
            return
        self.stopping = True
        now = self.clock.now()
        self._stop_deadline = now + self.settings.shutdown_deadline_ms / 1000
        eliot.log_message(
            message_type="node:leaving",
            node=self.settings.node_id,
            in_flight=len(self.entry.exchanges) + len(self.dispatcher.running),
        )
        self.announcements.leaving = True
        self.members.drain()
        self.directory_sync.send_leaving()
        self.timers.call_at(now + LEAVE_NOTICE_S, self._drain_callers)

    @handler("started", channel="*")
    def _on_started(self, *args) -> None:
        # circuits has installed its signal handlers, so a stop signal now starts the
        # shutdown; see hold_stop_signals.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo: int, stack) -> None:
        event.stop()
        if signo in STOP_SIGNALS:
            self.begin_shutdown()

    @handler("exception", channel="*")
    def _on_exception(self, kind, error, trace, handler=None, fevent=None) -> None:
        eliot.log_message(
            message_type="node:exception",
            node=self.settings.node_id,
            error=f"{kind.__name__}: {error}",
            trace="".join(trace) if isinstance(trace, list) else str(trace),
        )
        if isinstance(error, InvariantError):
            # After a violated invariant the process must not serve any more requests;
            # the instance is replaced.
            os._exit(70)

    def _apply_services(self) -> None:
        self.dispatcher.update_services()
        self.directory_sync.announce_change()

    def _set_up_store(self, token: str, rng: random.Random) -> StoreWatch | None:
        if self.settings.store is None:
            return None
        client = make_store_client(self, token, rng)
        audit_decisions(self, client, rng)
        self.entry.caller_keys = CallerKeyRequests(
            self.keyed.name,
            self.clock,
            self.timers,
            client,
            self.members,
            self.entry.choose_home,
            self.entry.send,
        )
        return make_store_watch(self, client, rng)

    def _send_to_node(self, node: NodeId, message: Message) -> None:
        address = self.members.find_address(node)
        if address is not None:
            self.links.get(address).send(CONTROL_STREAM, message)

    def _send_floor_message(self, node: NodeId, message: FloorMessage) -> None:
        self._send_to_node(node, pack_floor_message(message))

    def _serve(
        self, address: tuple[str, int], limits: CallerLimits, channel: str
    ) -> HttpServer:
        return HttpServer(
            self.poller, self.timers, self.clock, address, limits, channel
        ).register(self)

    def _drain_callers(self) -> None:
        self.callers.drain()
        self.keyed.seal()
        self._check_drained()

    def _check_drained(self) -> None:
        now = self.clock.now()
        idle = (
            not self.entry.exchanges
            and not self.dispatcher.running
            and self.keyed.is_idle
            and (self.entry.caller_keys is None or self.entry.caller_keys.is_idle)
            and not self.callers.connection_count
        )
        if idle or now >= self._stop_deadline:
            eliot.log_message(
                message_type="node:stopped",
                node=self.settings.node_id,
                cut=len(self.entry.exchanges) + len(self.dispatcher.running),
            )
            self.members.leave()
            self.root.stop()
            return
        self.timers.call_at(now + SHUTDOWN_CHECK_INTERVAL_S, self._check_drained)

    def _update_metrics(self) -> None:
        for name, count in self.entry.counters.items():
            self.metrics.set_event_count(name, count)
        for status, count in self.callers.refusals.items():
            self.metrics.set_event_count(f"edge_refused_{status}", count)
        self.metrics.set_event_count("links_refused", sum(self.refused_links.values()))
        self.metrics.set_value("caller_connections", self.callers.connection_count)
        self.metrics.set_value("links", self.links.count)
        self.metrics.set_value("servers", len(self.dispatcher.servers))
        self.metrics.set_value("in_flight", len(self.entry.exchanges))
