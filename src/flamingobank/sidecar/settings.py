"""Describe what one sidecar process is told about itself and its fleet."""

from dataclasses import dataclass

from flamingobank.core import FailureDomain, NodeId, ServiceName
from flamingobank.loop import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the deadlines and shares that the fleet has promised."""

    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Extra arrivals at a service within the window: ratio x requests + extra.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Describe the addresses and the place of one process."""

    node_id: NodeId
    failure_domain: FailureDomain
    # The server beside this process and the service that it runs.
    service: ServiceName
    server: Address
    callers: Address
    readiness: Address
    control: Address
    # TCP links and datagrams between nodes use the same number.
    peers: Address
    metrics: Address
    store: Address
    heartbeat_interval_s: float
    bounds: Bounds
