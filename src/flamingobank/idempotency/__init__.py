"""Let each keyed request run at most once."""

from flamingobank.idempotency.caller_keys import (
    CallerKeyRun,
    CallerKeys,
    KeyWrite,
    name_caller_key,
)
from flamingobank.idempotency.keeper import Keeper
from flamingobank.idempotency.keys import (
    IssuedKey,
    KeeperName,
    KeyId,
    KeyProblem,
    is_issued,
    issue_key,
    parse_key,
)
from flamingobank.idempotency.limits import KeeperLimits
from flamingobank.idempotency.messages import (
    HandoverAck,
    HandoverPart,
    Invalid,
    KeeperMoved,
    KeyDecision,
    KeyedRequest,
    KeyRecord,
    KeyRecordAck,
    Moved,
    Prepare,
    Reopen,
    Replay,
    RunGranted,
    RunRefused,
    SendToNode,
    StillRunning,
    Unknown,
)
from flamingobank.idempotency.moves import KeeperMoves
from flamingobank.idempotency.replica import ReplicaRecords
from flamingobank.idempotency.replication import rank_replicas
from flamingobank.idempotency.table import ChunkImage, KeyState

__all__ = [
    "CallerKeys",
    "CallerKeyRun",
    "ChunkImage",
    "KeyDecision",
    "HandoverAck",
    "HandoverPart",
    "Invalid",
    "IssuedKey",
    "Keeper",
    "KeeperLimits",
    "KeeperMoved",
    "KeeperMoves",
    "KeeperName",
    "KeyId",
    "KeyProblem",
    "KeyRecord",
    "KeyRecordAck",
    "KeyState",
    "KeyWrite",
    "KeyedRequest",
    "Moved",
    "Prepare",
    "RunRefused",
    "Reopen",
    "Replay",
    "ReplicaRecords",
    "RunGranted",
    "SendToNode",
    "StillRunning",
    "Unknown",
    "is_issued",
    "issue_key",
    "name_caller_key",
    "parse_key",
    "rank_replicas",
]
