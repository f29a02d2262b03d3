"""Define what homes say to each other about floor leases."""

import enum
from dataclasses import dataclass, field

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health.evidence import ServerSummary


@dataclass(frozen=True, slots=True)
class FloorRequest:
    """Ask the home of target to keep it in service while instance is ejected."""

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    holder: NodeId
    # New at each start of the holder, so that an old process is told apart.
    epoch: int
    # Grows with each request of one holder and epoch.
    number: int
    score: float
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


@dataclass(frozen=True, slots=True)
class FloorGrant:
    """Promise that the target stays in service; the answer repeats the request."""

    request: FloorRequest
    # The target's own score; leases on the healthiest servers are kept.
    score: float
    # Servers of the service that the grantor knows.
    announced: int
    # The target wants to be ejected itself and asks to be replaced.
    pending: bool
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


class DenialReason(enum.Enum):
    """Name why a home does not promise."""

    NOT_HOME = "not-home"
    EJECTED = "ejected"
    NOT_IN_SERVICE = "not-in-service"
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class FloorDenial:
    """Refuse a floor lease; the summary is still evidence."""

    request: FloorRequest
    reason: DenialReason
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


@dataclass(frozen=True, slots=True)
class FloorRelease:
    """Give up all leases on target up to a request number."""

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    holder: NodeId
    epoch: int
    number: int
    destination: NodeId


@dataclass(frozen=True, slots=True)
class FloorRevocation:
    """Tell a holder that the target crashed or drains before its deadline."""

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    destination: NodeId


FloorMessage = FloorRequest | FloorGrant | FloorDenial | FloorRelease | FloorRevocation


class EjectionState(enum.Enum):
    """Say how far an ejection has come."""

    # Nobody wants this server ejected, or it has no home here.
    NONE = "none"
    WAITING = "waiting"
    # Enough leases; eject() may follow once the peers show an outlier.
    COVERED = "covered"
    EJECTED = "ejected"
    # Enough leases, but another home still counts on this server.
    PROMISED = "promised"
    # A new home waits until promises of the former home have lapsed.
    QUIET = "quiet"
    # The floor leaves no server to eject.
    FLOOR_FULL = "floor-full"


@dataclass(frozen=True, slots=True)
class EjectionDecision:
    """Give the state of an ejection and what to send."""

    state: EjectionState
    leases: int = 0
    required: int = 0
    sends: tuple[FloorMessage, ...] = ()
