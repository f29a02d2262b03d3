"""Hold the settings of one node."""

from dataclasses import dataclass, field
from pathlib import Path

from flamingobank.core import FailureDomain, NodeId

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Hold the limits for the clients of one listening address."""

    max_connections: int = 2000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_streams_per_caller: int = 256
    # A caller that has not sent its whole request after this time is disconnected.
    request_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold the settings of one node; comments name the sections of the INI file."""

    # [node]
    node_id: NodeId
    failure_domain: FailureDomain
    region: str
    # [listen]
    callers: Address
    peers: Address
    servers: Address
    operators: Address
    # [peers]
    seeds: tuple[Address, ...] = ()
    # [store]
    store: Address | None = None
    store_token_file: Path | None = None
    # [secrets]
    fleet_secret_file: Path | None = None
    # [limits]
    limits: CallerLimits = field(default_factory=CallerLimits)
    # [shutdown]
    shutdown_deadline_ms: int = 30_000
