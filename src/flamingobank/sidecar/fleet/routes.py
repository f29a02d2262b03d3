"""Define routes, limits for callers and the table that finds a request's route."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from flamingobank.core import RouteName, ServiceName
from flamingobank.sidecar.fleet.workspaces import (
    KeyDigest,
    Workspace,
    pack_workspace,
    unpack_workspace,
)


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides how they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not RouteKind.UNSAFE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service with its weight among the targets of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The target services of a host and path prefix, and the rules for attempts."""

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    # 0 is the most urgent.
    priority: int
    # Requests need no key.
    public: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits for the sizes and durations of callers' requests."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[ServiceName]
    limits: RequestLimits
    workspaces: tuple[Workspace, ...] = ()
    _by_host: dict[str, tuple[Route, ...]] = field(
        init=False, repr=False, compare=False
    )
    _by_key: dict[KeyDigest, Workspace] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", ordered)
        by_key = {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }
        object.__setattr__(self, "_by_key", by_key)

    @property
    def schedules_by_cost(self) -> bool:
        """Return whether requests are scheduled by priority, deadline and work.

        A configuration asks for it with workspaces, whose priorities only this order
        tells apart.
        """
        return bool(self.workspaces)

    def find_workspace(self, digest: KeyDigest) -> Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self._by_key.get(digest)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_target(route: Route, draw: float) -> ServiceName:
    """Return the service that a random number from [0, 1) selects by weight."""
    remaining = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return route.targets[-1].service


def pack_table(table: RoutingTable) -> list:
    """Encode a table for the protocol between nodes."""
    limits = table.limits
    fields = [
        table.version,
        [_pack_route(route, bool(table.workspaces)) for route in table.routes],
        sorted(table.services),
        [
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        ],
    ]
    if table.workspaces:
        fields.append([pack_workspace(workspace) for workspace in table.workspaces])
    return fields


def unpack_table(fields: list) -> RoutingTable:
    """Decode a packed table; raises ValueError for an unknown route kind."""
    version, routes, services, limits, *optional = fields
    (workspaces,) = optional or ([],)
    return RoutingTable(
        version,
        tuple(_unpack_route(route) for route in routes),
        frozenset(ServiceName(service) for service in services),
        RequestLimits(*limits),
        tuple(unpack_workspace(packed) for packed in workspaces),
    )


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _pack_route(route: Route, with_keys: bool) -> list:
    fields = [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        [[target.service, target.weight] for target in route.targets],
        route.timeout_s,
        route.target_latency_s,
        route.max_attempts,
        route.priority,
    ]
    if with_keys and route.public:
        fields.append(True)
    return fields


def _unpack_route(fields: Iterable) -> Route:
    name, host, prefix, kind, targets, *numbers = fields
    return Route(
        RouteName(name),
        host,
        prefix,
        RouteKind(kind),
        tuple(WeightedService(ServiceName(s), weight) for s, weight in targets),
        *numbers,
    )
