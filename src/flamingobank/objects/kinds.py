"""Kinds of labeled objects."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from flamingobank.core import RouteName, ServiceName, WorkspaceId
from flamingobank.objects.selectors import Selector


class TrafficClass(enum.Enum):
    """Class of traffic; that of customers is served before internal traffic."""

    CUSTOMER = "customer"
    INTERNAL = "internal"


class FloorUnit(enum.Enum):
    """Unit in which the floor of a service is given."""

    SHARE = "share"
    SERVERS = "servers"


@dataclass(frozen=True, slots=True)
class Floor:
    """Minimum of servers that ejection must leave in service.

    It is a share of the announced servers or a number of servers.
    """

    unit: FloorUnit
    value: float

    def count_servers(self, announced: int) -> int:
        """Return how many of the announced servers must stay in service."""
        if self.unit is FloorUnit.SERVERS:
            return min(announced, int(self.value))
        # The epsilon keeps rounding errors from turning 0.7 * 10 into 8 servers.
        return min(announced, int(-(-(self.value * announced - 1e-9) // 1)))


@dataclass(frozen=True, slots=True)
class Service:
    """Group of servers that a selector chooses by their labels."""

    name: ServiceName
    selector: Selector
    floor: Floor = Floor(FloorUnit.SHARE, 0.7)
    # Share of a server's slots that long requests may use while short requests wait.
    long_share: float = 0.75
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that sends matching requests to the service that a selector chooses."""

    name: RouteName
    # Selects the service by its labels; the label "service" holds the service's name.
    target: Selector
    # An empty host matches every host; "*.example" matches its subdomains.
    host: str = ""
    path: str = "/"
    methods: tuple[str, ...] = ()
    # Exact values of request headers, by lower-case name.
    headers: Mapping[str, str] = field(default_factory=dict)
    # Selects callers by the labels of their workspace.
    callers: Selector = field(default_factory=Selector)
    traffic_class: TrafficClass = TrafficClass.CUSTOMER
    idempotent: bool = True
    expected_ms: int = 50
    deadline_ms: int = 10_000
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Workspace:
    """Tenant on whose behalf a caller acts."""

    name: WorkspaceId
    labels: Mapping[str, str] = field(default_factory=dict)


AnyObject = Service | Route | Workspace


class ObjectKind(enum.Enum):
    """Kinds of labeled objects, with the names that the store uses."""

    SERVICE = "service"
    ROUTE = "route"
    WORKSPACE = "workspace"


KIND_CLASSES: dict[ObjectKind, type] = {
    ObjectKind.SERVICE: Service,
    ObjectKind.ROUTE: Route,
    ObjectKind.WORKSPACE: Workspace,
}


def get_kind(item: AnyObject) -> ObjectKind:
    """Return the kind of an object."""
    for kind, kind_class in KIND_CLASSES.items():
        if isinstance(item, kind_class):
            return kind
    raise TypeError(f"expected a labeled object, got {type(item).__name__}")
