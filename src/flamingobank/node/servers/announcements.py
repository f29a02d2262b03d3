"""Handle the announcements of servers and track the servers of this home."""

import ipaddress
import json
from collections.abc import Callable
from dataclasses import dataclass

import eliot
from circuits import BaseComponent, handler
from expression import Error, Ok, Result

from flamingobank.core import (
    BootId,
    Clock,
    FailureDomain,
    InstanceId,
    NodeId,
    rank_by_rendezvous,
)
from flamingobank.loop import Address, Timers
from flamingobank.node.http.caller_request import CallerRequest, CallerResponse
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.ejections import EjectionController
from flamingobank.node.servers.servers import CONNECT_BACKOFF_S, Server

ANNOUNCE_PATH = "/.flamingobank/announce"
RENEW_MS = 1000
EXPIRY_S = 3.0
MAX_SLOTS = 1024
# Names are sent to all nodes in directory updates, whose frame size is limited.
MAX_NAME_CHARACTERS = 255
MAX_PORT_DIGITS = 5
EXPIRY_CHECK_INTERVAL_S = 0.25
# Limits the memory that an attacker can fill by announcing many instance names.
MAX_CACHED_HOMES = 4096


@dataclass(frozen=True, slots=True)
class Announcement:
    """The state of a server as the server itself announces it."""

    instance: InstanceId
    boot: BootId
    address: Address
    labels: dict[str, str]
    slots: int
    failure_domain: FailureDomain
    in_use: int
    draining: bool
    warm: float
    # Set by the server after several redirects, which occur when nodes have different
    # views of the fleet. The node then accepts the announcement without a redirect.
    final: bool


@dataclass(frozen=True, slots=True)
class AnnouncementError:
    """The field of an announcement that is invalid, and what was expected."""

    field: str
    value: object
    expected: str

    def __str__(self) -> str:
        return (
            f"announcement field {self.field}: "
            f"expected {self.expected}, got {self.value!r}"
        )


def parse_announcement(body: bytes) -> Result[Announcement, AnnouncementError]:
    """Parse the JSON body of an announcement, or name its first invalid field."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return Error(AnnouncementError("body", body[:64], "a JSON object"))
    if not isinstance(fields, dict):
        return Error(AnnouncementError("body", fields, "a JSON object"))
    for name in ("instance", "boot", "address", "failure_domain"):
        value = fields.get(name)
        if not _is_valid_name(value):
            expected = f"printable text of 1 to {MAX_NAME_CHARACTERS} characters"
            return Error(AnnouncementError(name, value, expected))
    address = _parse_address(fields["address"])
    if address is None:
        return Error(AnnouncementError("address", fields["address"], "IP:port"))
    labels = fields.get("labels", {})
    if not isinstance(labels, dict) or not all(
        isinstance(value, str) for value in labels.values()
    ):
        return Error(AnnouncementError("labels", labels, "an object of strings"))
    slots = fields.get("slots")
    if type(slots) is not int or not 0 < slots <= MAX_SLOTS:
        return Error(
            AnnouncementError("slots", slots, f"a number from 1 to {MAX_SLOTS}")
        )
    return Ok(
        Announcement(
            InstanceId(fields["instance"]),
            BootId(fields["boot"]),
            address,
            labels,
            slots,
            FailureDomain(fields["failure_domain"]),
            _read_count(fields.get("in_use"), slots),
            fields.get("draining") is True,
            _read_warmth(fields.get("warm", 1.0)),
            fields.get("final") is True,
        )
    )


def _is_valid_name(value: object) -> bool:
    # Printable text contains no lone surrogates, which cannot be encoded for peers.
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value.isprintable()
    )


def _parse_address(text: str) -> Address | None:
    """Parse an IPv4 address and port; resolving a host name would block the loop."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or len(port) > MAX_PORT_DIGITS:
        return None
    if not 0 < int(port) < 65536:
        return None
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        return None


def _read_count(value: object, slots: int) -> int:
    """Return the reported number of slots in use, or 0 if it is impossible."""
    if type(value) is not int or not 0 <= value <= slots:
        return 0
    return value


def _read_warmth(value: object) -> float:
    """Return the reported warmth, or 1.0 if it is impossible."""
    if not isinstance(value, int | float) or not 0 <= value <= 1:
        return 1.0
    return float(value)


class AnnouncementHandler(BaseComponent):
    """Answer announcements and remove servers that stop renewing them."""

    channel = "servers"

    def __init__(
        self,
        node_id: NodeId,
        clock: Clock,
        timers: Timers,
        dispatcher: Dispatcher,
        ejections: EjectionController,
        list_domain_nodes: Callable[[FailureDomain], dict[NodeId, Address]],
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(channel=self.channel)
        self.leaving = False
        self._requested_drains: dict[InstanceId, bool] = {}
        self.removed: list[tuple[float, str, str]] = []
        # Ranking 370 nodes takes about 0.9 ms, and each server renews every second, so
        # the home of each instance is cached.
        self._home_cache_nodes: frozenset[NodeId] = frozenset()
        self._home_cache: dict[InstanceId, NodeId] = {}
        self._node_id = node_id
        self._clock = clock
        self._dispatcher = dispatcher
        self._ejections = ejections
        self._list_domain_nodes = list_domain_nodes
        self._on_change = on_change
        timers.call_every(EXPIRY_CHECK_INTERVAL_S, self._remove_expired)

    @handler("request")
    def _on_request(self, event, request: CallerRequest, response: CallerResponse):
        if request.path != ANNOUNCE_PATH:
            return None
        if request.method != "POST":
            return _answer_json(response, 405, {"error": "expected POST"})
        parsed = parse_announcement(request.content)
        if parsed.is_error():
            return _answer_json(response, 400, {"error": str(parsed.error)})
        announcement = parsed.ok
        home = self._find_home(announcement)
        if home is not None and not announcement.final:
            self._remove_server(announcement.instance, "moved to another home")
            node, address = home
            return _answer_json(
                response, 307, {"home": node, "address": f"{address[0]}:{address[1]}"}
            )
        self._apply(announcement)
        answer = {"renew_ms": RENEW_MS, "home": self._node_id}
        requested = self._requested_drains.get(announcement.instance)
        if requested is not None:
            answer["drain"] = requested
        return _answer_json(response, 200, answer)

    def _find_home(self, announcement: Announcement) -> tuple[NodeId, Address] | None:
        """Return the node that should be the home, or None if it is this one."""
        nodes = self._list_domain_nodes(announcement.failure_domain)
        if not nodes:
            # The server's failure domain has no live node, so nodes of all domains are
            # candidates.
            nodes = self._list_domain_nodes(FailureDomain(""))
        if self.leaving:
            nodes = {node: nodes[node] for node in nodes if node != self._node_id}
        if not nodes:
            return None
        node = self._select_home(announcement.instance, nodes)
        if node == self._node_id:
            return None
        return node, nodes[node]

    def set_draining(self, instance: str, draining: bool) -> bool:
        """Start or end the drain of a server; return False if it has another home.

        The answer to the server's next announcement notifies the server. From then on
        it announces the state itself, so that the state is kept when the home changes.
        """
        server = self._dispatcher.servers.get(InstanceId(instance))
        if server is None:
            return False
        self._requested_drains[server.instance] = draining
        if draining:
            server.slots.drain(self._clock.now())
        else:
            server.slots.return_to_service()
            self._ejections.return_to_service(server)
        self._ejections.announce(server)
        self._dispatcher.refresh_server(server)
        self._on_change()
        return True

    def _resolve_draining(self, announcement: Announcement) -> bool:
        """Return the drain state that applies; a pending request takes precedence."""
        requested = self._requested_drains.get(announcement.instance)
        if requested is None:
            return announcement.draining
        if requested == announcement.draining:
            # The server announces the requested state, so the request is complete.
            del self._requested_drains[announcement.instance]
        return requested

    def _select_home(
        self, instance: InstanceId, nodes: dict[NodeId, Address]
    ) -> NodeId:
        if (
            nodes.keys() != self._home_cache_nodes
            or len(self._home_cache) >= MAX_CACHED_HOMES
        ):
            self._home_cache_nodes = frozenset(nodes)
            self._home_cache.clear()
        node = self._home_cache.get(instance)
        if node is None:
            node = NodeId(rank_by_rendezvous(instance, nodes)[0])
            self._home_cache[instance] = node
        return node

    def _apply(self, announcement: Announcement) -> None:
        now = self._clock.now()
        draining = self._resolve_draining(announcement)
        server = self._dispatcher.servers.get(announcement.instance)
        new = server is None or server.boot != announcement.boot
        if new:
            if server is not None:
                self._remove_server(server.instance, "the server restarted")
            server = Server(
                announcement.instance,
                announcement.boot,
                announcement.address,
                announcement.slots,
                announcement.warm,
                now,
            )
        changed = (
            new
            or server.labels != announcement.labels
            or server.slots.limit != announcement.slots
            or server.draining != draining
        )
        server.labels = announcement.labels
        server.failure_domain = announcement.failure_domain
        server.announced_at = now
        server.unreachable_until = min(
            server.unreachable_until, now + CONNECT_BACKOFF_S
        )
        server.slots.warm = announcement.warm
        server.slots.set_slots(announcement.slots)
        if draining:
            server.slots.drain(now)
        elif server.draining:
            # The server ended its drain, so this home may again promise other homes
            # that the server stays in service.
            server.slots.return_to_service()
            self._ejections.return_to_service(server)
        if changed:
            self._dispatcher.place_server(server)
            self._on_change()
        self._ejections.announce(server)

    def _remove_server(self, instance: InstanceId, why: str) -> None:
        if instance not in self._dispatcher.servers:
            return
        self._ejections.remove(instance)
        self._requested_drains.pop(instance, None)
        self._dispatcher.remove_server(instance)
        self.removed.append((self._clock.now(), instance, why))
        del self.removed[:-100]
        eliot.log_message(
            message_type="home:server-removed", instance=instance, why=why
        )
        self._on_change()

    def _remove_expired(self) -> None:
        now = self._clock.now()
        for server in list(self._dispatcher.servers.values()):
            if server.announced_at + EXPIRY_S < now:
                self._remove_server(server.instance, "announcement expired")


def _answer_json(response: CallerResponse, status: int, fields: dict) -> CallerResponse:
    response.status = status
    response.headers["Content-Type"] = "application/json"
    response.body = json.dumps(fields)
    return response
