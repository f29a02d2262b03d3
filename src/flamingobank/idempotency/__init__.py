"""Let each keyed request run at most once."""

from flamingobank.idempotency.chosen import (
    ChosenKeys,
    ChosenRun,
    KeyWrite,
    name_chosen_key,
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
    Decision,
    HandoverAck,
    HandoverPart,
    Invalid,
    KeeperMoved,
    KeyedRequest,
    KeyRecord,
    KeyRecordAck,
    Moved,
    Prepare,
    Refused,
    Reopen,
    Replay,
    Run,
    Send,
    StillRunning,
    Unknown,
)
from flamingobank.idempotency.moves import KeeperMoves
from flamingobank.idempotency.replica import ReplicaRecords
from flamingobank.idempotency.replication import rank_replicas
from flamingobank.idempotency.table import ChunkImage, KeyState

__all__ = [
    "ChosenKeys",
    "ChosenRun",
    "ChunkImage",
    "Decision",
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
    "Refused",
    "Reopen",
    "Replay",
    "ReplicaRecords",
    "Run",
    "Send",
    "StillRunning",
    "Unknown",
    "is_issued",
    "issue_key",
    "name_chosen_key",
    "parse_key",
    "rank_replicas",
]
