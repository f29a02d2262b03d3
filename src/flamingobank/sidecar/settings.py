"""Define the settings of one sidecar process."""

from dataclasses import dataclass

from flamingobank.core import FailureDomain, NodeId, ServiceName
from flamingobank.loop import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and the retry budget that the whole fleet must keep."""

    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Time from the writing of a configuration until it must be in force everywhere.
    propagation_s: float = 2.0
    # Extra arrivals at a service within the window: ratio x requests + extra.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    # Time from the writing of a configuration that withdraws a key until no request
    # with that key is started anywhere; None if there is no such limit.
    revocation_s: float | None = None
    # Requests of a workspace over all machines within the window: (rate x window +
    # burst) x (1 + excess ratio) + tolerance.
    quota_window_s: float = 5.0
    quota_excess_ratio: float = 0.1
    quota_tolerance: float = 20.0


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What one process may use of its machine; None for what is not stated."""

    memory_bytes: int | None = None
    file_descriptors: int | None = None


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """The identity, addresses and limits of one process."""

    node_id: NodeId
    failure_domain: FailureDomain
    # The service of the local server, and the server's address.
    service: ServiceName
    server: Address
    callers: Address
    readiness: Address
    control: Address
    # TCP links and UDP datagrams between nodes use the same port number.
    peers: Address
    metrics: Address
    store: Address
    heartbeat_interval_s: float
    bounds: Bounds
    machine: MachineLimits = MachineLimits()
