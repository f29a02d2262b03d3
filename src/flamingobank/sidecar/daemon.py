"""Build the components of a sidecar and connect them to one event loop."""

import os
import random
import resource
import signal
from collections.abc import Callable

from circuits import handler
from expression import Result

from flamingobank.core import (
    InvariantError,
    MonotonicClock,
    NodeId,
    read_wall_ms,
)
from flamingobank.loop import Address, LoopComponent, Poller, Timers
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.decisions.memory_account import (
    MemoryAccount,
    ShedReason,
    derive_budget_bytes,
    derive_descriptor_limit,
    derive_reserved_connections,
)
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter, RetryBudget
from flamingobank.sidecar.dialect import Dialect
from flamingobank.sidecar.event_log import EventLog, LineOutput
from flamingobank.sidecar.explanation_handler import (
    EXPLAIN_PATH,
    ExplanationHandler,
)
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.fleet_store import FleetStore
from flamingobank.sidecar.fleet.gossip import PeerGossip
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.fleet.store_sync import StoreSync
from flamingobank.sidecar.homes.announcements import AnnouncementHandler, CallDecoder
from flamingobank.sidecar.homes.home import Home
from flamingobank.sidecar.homes.server_client import ServerClient
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank.sidecar.links.links import Link, LinkPool
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import PROTOCOL_VERSION, Hello, make_boot
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.peer_messages import PeerMessageHandler
from flamingobank.sidecar.routing_table_sync import RoutingTableSync
from flamingobank.sidecar.settings import SidecarSettings
from flamingobank.sidecar.shutdown import Shutdown
from flamingobank.sidecar.workspaces.quota_sync import QuotaSync

# A process that has its configuration but found no peers becomes ready for callers
# after this time, since it may be the only process.
MAX_PEERS_WAIT_S = 1.5
# The home accepts no offers until it knows the departures that an earlier process
# acknowledged. They come from peers or the store, and are awaited this long after the
# start, or a shorter time after the store has listed the peers.
MAX_DEPARTURES_WAIT_S = 1.0
DEPARTURES_WAIT_AFTER_LIST_S = 0.2
MAX_DEPARTURES = 8
SETTINGS_CHECK_INTERVAL_S = 1.0
EXIT_INVARIANT_VIOLATED = 70
# Limits for requests to the process's own addresses, and for callers before the first
# configuration. The calls that servers make to their home have small bodies.
CONTROL_LIMITS = RequestLimits(max_body_bytes=262_144, idle_timeout_s=30.0)

SettingsLoader = Callable[[], Result[SidecarSettings, str]]
StoreFactory = Callable[["Sidecar"], FleetStore]


class Sidecar(LoopComponent):
    """All components of one sidecar process and the event loop that drives them."""

    channel = "sidecar"

    def __init__(
        self,
        settings: SidecarSettings,
        event_log: EventLog,
        output: LineOutput,
        poller: Poller,
        dialect: Dialect,
        decode_call: CallDecoder,
        make_store: StoreFactory,
        load_settings: SettingsLoader,
        seed: int | None = None,
    ) -> None:
        super().__init__(channel=self.channel)
        self.settings = settings
        self.event_log = event_log
        self.output = output
        self.clock = MonotonicClock()
        event_log.use_clock(self.clock)
        self.boot = make_boot(os.urandom(8).hex())
        self.poller = poller.register(self)
        self.poller.clock = self.clock
        self.timers = Timers(self.clock).register(self)
        self.metrics = SidecarMetrics({"node": settings.node_id})
        self._started_at = self.clock.now()
        self._load_settings = load_settings
        self._addresses: dict[NodeId, Address] = {}
        rng = random.Random(seed)
        self.peers = PeerTable(self._make_local_record())
        self.links = LinkPool(
            self.poller,
            self.timers,
            self.clock,
            rng,
            event_log,
            Hello(PROTOCOL_VERSION, settings.node_id, self.boot),
        )
        self.links.is_member = self._is_member
        self.memory = MemoryAccount(derive_budget_bytes(settings.machine.memory_bytes))
        self.links.memory = self.memory
        self.crashes = CrashReports(self.clock, event_log)
        retries = RetryBudget(
            settings.bounds.retry_ratio,
            settings.bounds.retry_extra,
            settings.bounds.retry_window_s,
        )
        run_limiter = RepeatedRunLimiter(retries, lambda: len(self.peers) + 1)
        client = ServerClient(self.poller, self.timers, self.clock, dialect)
        client.memory = self.memory
        self.home = Home(
            self.clock,
            self.timers,
            client,
            dialect,
            event_log,
            self.metrics,
            self._list_channels,
            self.crashes,
            run_limiter,
        )
        self.home.serves_from = self._started_at + MAX_DEPARTURES_WAIT_S
        self.entry = Entry(
            self.clock,
            self.timers,
            rng,
            dialect,
            event_log,
            self.metrics,
            self.peers,
            retries,
            run_limiter,
            self.crashes,
            settings.service,
            settings.bounds.revocation_s,
        )
        self.table_sync = RoutingTableSync(
            self.clock,
            self.timers,
            event_log,
            self.links,
            self.entry,
            self._on_table_applied,
        )
        self.quotas = QuotaSync(
            self.clock,
            self.timers,
            event_log,
            self.metrics,
            self.peers,
            self.boot,
            settings.bounds,
            self._get_link,
        )
        self.entry.quotas = self.quotas
        peer_message_handler = PeerMessageHandler(
            self.entry,
            self.home,
            self.table_sync,
            self.quotas,
            self._find_node,
            self.links.remove_accepted,
        )
        self.links.observer = peer_message_handler
        self.local_link = LocalLink(
            self.timers,
            self.boot,
            self.home.receive,
            peer_message_handler.on_control_message,
        )
        self.entry.get_link = self._get_link
        self.entry.on_call_failed = self.home.health.note_call_failure
        self.gossip = PeerGossip(
            self.poller,
            self.timers,
            self.clock,
            rng,
            event_log,
            self.peers,
            settings.peers,
        )
        self.gossip.on_record = self._on_record
        self.gossip.on_previous_record = self._on_previous_record
        self.gossip.on_digest = self._on_digest
        self.gossip.on_confirmation = self.entry.access.confirmation.note_peer
        self.gossip.get_confirmation_age_s = self._compute_keys_age_s
        self.gossip.on_crash = self.crashes.receive_report
        self.crashes.broadcast = self.gossip.broadcast_crash
        self.store_sync = StoreSync(
            self.clock,
            self.timers,
            rng,
            event_log,
            self.metrics,
            make_store(self),
            self.peers,
            settings.bounds.propagation_s,
        )
        self.store_sync.on_newer_reading = self.gossip.announce_reading
        self.store_sync.on_table = lambda table: self.table_sync.apply(table, "store")
        self.store_sync.on_confirmed = self.entry.access.confirmation.note_store
        self.store_sync.needs_reading = lambda: self.entry.access.needs_reading(
            self.entry.table
        )
        self.entry.access.on_outdated = self.store_sync.read_now
        self.store_sync.on_peers = self._on_peers
        self.store_sync.on_unsaved_peers = self.gossip.report_unsaved
        self.gossip.on_unsaved = self.store_sync.record_writer.save_again
        self.gossip.get_reading_age_s = lambda: self.store_sync.reading_age_s
        self.control = AnnouncementHandler(
            self.clock, read_wall_ms, self.home, event_log, self.metrics, decode_call
        )
        self.control.read_table = lambda: self.entry.table
        self.control.on_changed = self._publish_server
        self.control.keep_departures = self._keep_departures
        self.home.on_server_left = lambda: self._keep_departures(lambda kept: None)
        self.links.listen(settings.peers, peer_message_handler)
        self.callers = self._serve(settings.callers, self.entry.take, self._get_limits)
        self.explanations = ExplanationHandler(
            self.clock,
            self.entry,
            self.peers,
            retries,
            rng,
            self._find_link,
            self.quotas,
        )
        self.shutdown = Shutdown(
            self.clock,
            self.timers,
            event_log,
            self.entry,
            self.home,
            self.callers,
            lambda: self.root.stop(),
        )
        self._serve_own(settings.control, self.control.take)
        self._serve_own(settings.readiness, self._answer_readiness)
        self._serve_own(settings.metrics, self._answer_metrics)
        self.store_sync.start()
        self.timers.call_every(SETTINGS_CHECK_INTERVAL_S, self.reload)

    @property
    def is_ready(self) -> bool:
        """Return whether the readiness address should report this process ready."""
        if self.shutdown.begun or self.entry.table is None:
            return False
        waited_s = self.clock.now() - self._started_at
        if waited_s <= MAX_PEERS_WAIT_S and not self.entry.access.is_usable(
            self.entry.table
        ):
            return False
        return len(self.peers) > 0 or waited_s > MAX_PEERS_WAIT_S

    def begin_stop(self) -> None:
        """Start the shutdown: report unready, finish open requests, then end."""
        if self.shutdown.begun:
            return
        self.store_sync.stopping = True
        self.quotas.stop()
        self.shutdown.begin(self.settings.bounds.grace_s)
        self.gossip.leave()
        self.store_sync.record_writer.retire()

    def reload(self) -> None:
        """Read the settings again, and apply them if they changed."""
        loaded = self._load_settings()
        if loaded.is_error():
            self.event_log.warn("sidecar:bad-settings", error=loaded.error)
            return
        if loaded.ok == self.settings:
            return
        self.settings = loaded.ok
        self.entry.calling_service = loaded.ok.service
        self.event_log.event("sidecar:reloaded", service=loaded.ok.service)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo: int, stack) -> None:
        event.stop()
        if signo in (signal.SIGTERM, signal.SIGINT):
            self.begin_stop()

    @handler("exception", channel="*")
    def _on_exception(self, kind, error, trace, handler=None, fevent=None) -> None:
        self.event_log.exception("sidecar:exception", error)
        if isinstance(error, InvariantError):
            # After a violated invariant the process must not serve any more requests;
            # the platform restarts it.
            os._exit(EXIT_INVARIANT_VIOLATED)

    def _make_local_record(self) -> PeerRecord:
        settings = self.settings
        return PeerRecord(
            node=settings.node_id,
            incarnation=read_wall_ms(),
            revision=1,
            address=settings.peers,
            failure_domain=settings.failure_domain,
            service=settings.service,
            serving=False,
            left=False,
            departures=(),
        )

    def _serve_own(
        self, address: Address, on_request: Callable[[CallerRequest], None]
    ) -> None:
        """Serve an address that is not for callers."""
        descriptors = self._count_descriptors()
        reserved = 0
        if descriptors is not None:
            reserved = derive_reserved_connections(descriptors)
        self._serve(address, on_request, lambda: CONTROL_LIMITS, reserved)

    def _serve(
        self,
        address: Address,
        on_request: Callable[[CallerRequest], None],
        limits: Callable[[], RequestLimits],
        reserved_connections: int = 0,
    ) -> HttpServer:
        descriptors = self._count_descriptors()
        max_descriptors = None
        if descriptors is not None:
            max_descriptors = derive_descriptor_limit(descriptors)
        return HttpServer(
            self.poller,
            self.timers,
            self.clock,
            address,
            limits,
            on_request,
            lambda reason: self.event_log.warn("http:malformed", error=reason),
            self.memory,
            max_descriptors,
            self._note_shed,
            reserved_connections,
        )

    def _count_descriptors(self) -> int | None:
        """Return how many descriptors the machine allows, None without a limit."""
        descriptors = self.settings.machine.file_descriptors
        if descriptors is None:
            descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            return None
        return descriptors

    def _note_shed(self, reason: ShedReason) -> None:
        self.metrics.count("callers_shed_total", reason=reason.value)
        self.event_log.event(
            "http:shed", reason=reason.value, held=self.memory.total_bytes
        )

    def _get_limits(self) -> RequestLimits:
        table = self.entry.table
        return table.limits if table is not None else CONTROL_LIMITS

    def _get_link(self, node: NodeId) -> Link | LocalLink:
        if node == self.peers.local_record.node:
            return self.local_link
        record = self.peers.find(node)
        if record is not None:
            self._addresses[node] = record.address
        # The last known address is used, since open requests may still refer to a peer
        # whose record was removed.
        return self.links.get(self._addresses[node])

    def _find_link(self, node: NodeId) -> Link | LocalLink | None:
        """Return the link to a node if there is one."""
        if node == self.peers.local_record.node:
            return self.local_link
        record = self.peers.find(node)
        return None if record is None else self.links.find(record.address)

    def _find_node(self, link: Link | LocalLink) -> NodeId | None:
        if isinstance(link, LocalLink):
            return self.peers.local_record.node
        record = self.peers.find_address(link.address)
        return record.node if record is not None else None

    def _is_member(self, address: Address) -> bool:
        record = self.peers.find_address(address)
        return record is not None and not record.left

    def _list_channels(self) -> list:
        return [*self.links.accepted, self.local_link.channel]

    def _answer_readiness(self, request: CallerRequest) -> None:
        request.answer(200 if self.is_ready else 503, [], b"")

    def _answer_metrics(self, request: CallerRequest) -> None:
        if request.target.partition(b"?")[0] == EXPLAIN_PATH:
            self.explanations.answer(request)
            return
        self.metrics.count_dropped_lines(self.event_log.dropped + self.output.dropped)
        self.metrics.count_exceptions(self.event_log.exceptions)
        self.metrics.set_configuration(
            self.table_sync.version, self.store_sync.reading_age_s
        )
        self.metrics.set_quotas_owned(self.quotas.count_owned())
        keys_age_s = self._compute_keys_age_s()
        if keys_age_s is not None:
            self.metrics.set_keys_age(keys_age_s)
        self.metrics.set_rate_limit(self.home.notices.rate_limit_per_s)
        for purpose, held_bytes in self.memory.list_held():
            self.metrics.set_held_bytes(purpose, held_bytes)
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        request.answer(200, headers, self.metrics.render())

    def _compute_keys_age_s(self) -> float | None:
        return self.entry.access.compute_age_s(self.entry.table)

    def _on_table_applied(self, version: int) -> None:
        self.quotas.apply_limits(self.entry.table.workspaces)
        self.entry.access.confirmation.set_version(version)
        self.gossip.set_version(version)

    def _on_digest(self, peer: PeerRecord, version: int, age_s: float) -> None:
        self.store_sync.note_reading_age(age_s)
        self.entry.access.confirmation.note_peer_version(version)
        self.table_sync.note_version(peer, version)

    def _on_peers(self, records: list[PeerRecord]) -> None:
        self.gossip.add_records(records)
        ready_at = self.clock.now() + DEPARTURES_WAIT_AFTER_LIST_S
        self.home.serves_from = min(self.home.serves_from, ready_at)

    def _on_record(self, record: PeerRecord) -> None:
        if record.left:
            self.entry.remove_home(record.node)

    def _on_previous_record(self, record: PeerRecord) -> None:
        self.home.server.recall_departures(set(record.departures))
        self._publish_server()

    def _publish_server(self) -> None:
        server = self.home.server
        current = server.current
        departures = server.list_latest_departures(MAX_DEPARTURES)
        service = current.service if current is not None else self.settings.service
        local_record = self.peers.local_record
        serving = server.accepts_work and not self.shutdown.begun
        if (local_record.serving, local_record.service, local_record.departures) == (
            serving,
            service,
            departures,
        ):
            return
        self.gossip.publish(serving=serving, service=service, departures=departures)

    def _keep_departures(self, on_done: Callable[[bool], None]) -> None:
        """Make departures known to peers at once, and to later processes here.

        `on_done` is called with whether a later process will know them.
        """
        self._publish_server()
        self.gossip.send_updates()
        self.store_sync.record_writer.save_departures(on_done)


def handle_hangup(sidecar: Sidecar) -> None:
    """Install a SIGHUP handler that reads the settings again."""

    def on_hangup(signo: int, stack: object) -> None:
        sidecar.timers.call_soon(sidecar.reload)
        sidecar.poller.resume()

    signal.signal(signal.SIGHUP, on_hangup)
