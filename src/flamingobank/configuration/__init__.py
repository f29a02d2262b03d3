"""Hold, spread and look up the configuration."""

from flamingobank.configuration.gossip import Gossip
from flamingobank.configuration.listing import ListingLoader
from flamingobank.configuration.log import ConfigurationLog, measure_delta
from flamingobank.configuration.messages import (
    Change,
    Delta,
    PeerMessage,
    PeerSend,
    Pull,
    SnapshotChunk,
    SnapshotRequest,
    Spec,
)
from flamingobank.configuration.outcomes import (
    AlreadyApplied,
    Applied,
    Gap,
    Loading,
    Malformed,
    Outcome,
    SkippedChange,
    SkipReason,
    SnapshotLoaded,
    WentBack,
)
from flamingobank.configuration.snapshots import SnapshotLoader, build_chunk
from flamingobank.configuration.tables import PackedTables, ParseSpec

__all__ = [
    "AlreadyApplied",
    "Applied",
    "Change",
    "ConfigurationLog",
    "Delta",
    "Gap",
    "Gossip",
    "ListingLoader",
    "Loading",
    "Malformed",
    "Outcome",
    "PackedTables",
    "ParseSpec",
    "PeerMessage",
    "PeerSend",
    "Pull",
    "SkipReason",
    "SkippedChange",
    "SnapshotChunk",
    "SnapshotLoaded",
    "SnapshotLoader",
    "SnapshotRequest",
    "Spec",
    "WentBack",
    "build_chunk",
    "measure_delta",
]
