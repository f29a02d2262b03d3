"""Messages between homes about floor leases."""

import enum
from dataclasses import dataclass, field

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health.evidence import ServerSummary


@dataclass(frozen=True, slots=True)
class FloorRequest:
    """Asks the home of target to keep it in service while instance is ejected."""

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    holder: NodeId
    # Changes at each start of the holder, to distinguish requests of an old process.
    epoch: int
    # Increases with each request of one holder and epoch.
    number: int
    score: float
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


@dataclass(frozen=True, slots=True)
class FloorGrant:
    """Promises that the target stays in service; contains the request it answers."""

    request: FloorRequest
    # The target's own score, by which the holder keeps the leases on the healthiest
    # servers.
    score: float
    # Number of servers of the service that the grantor knows.
    announced: int
    # The target's home wants to eject the target too, so the holder should replace this
    # lease by one on another server.
    pending: bool
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


class DenialReason(enum.Enum):
    """Why a home denies a floor lease."""

    NOT_HOME = "not-home"
    EJECTED = "ejected"
    NOT_IN_SERVICE = "not-in-service"
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class FloorDenial:
    """Denies a floor lease; the summary still counts as evidence."""

    request: FloorRequest
    reason: DenialReason
    destination: NodeId
    summary: ServerSummary = field(default_factory=ServerSummary)


@dataclass(frozen=True, slots=True)
class FloorRelease:
    """Releases all leases on target up to a request number."""

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    holder: NodeId
    epoch: int
    number: int
    destination: NodeId


@dataclass(frozen=True, slots=True)
class FloorRevocation:
    """Tells a holder that the target left service before the lease's deadline.

    The target has crashed or is draining.
    """

    service: ServiceName
    instance: InstanceId
    target: InstanceId
    destination: NodeId


FloorMessage = FloorRequest | FloorGrant | FloorDenial | FloorRelease | FloorRevocation


class EjectionState(enum.Enum):
    """Progress of an ejection."""

    # No ejection of this server is requested, or this node is not its home.
    NONE = "none"
    WAITING = "waiting"
    # Enough leases; eject() may follow once the server is found to be an outlier.
    COVERED = "covered"
    EJECTED = "ejected"
    # Enough leases, but another home still holds a promise about this server.
    PROMISED = "promised"
    # A new home waits until promises of the former home have expired.
    QUIET = "quiet"
    # The floor allows no ejection.
    FLOOR_FULL = "floor-full"


@dataclass(frozen=True, slots=True)
class EjectionDecision:
    """State of an ejection and the messages to send for it."""

    state: EjectionState
    leases: int = 0
    required: int = 0
    sends: tuple[FloorMessage, ...] = ()
