"""Run each request that carries an idempotency key at most once."""

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
    KeeperMoved,
    KeeperRedirect,
    KeyDecision,
    KeyedRequest,
    KeyRecord,
    KeyRecordAck,
    KeyRejected,
    OutcomeUnknown,
    Prepare,
    Replay,
    ResendRequired,
    RunGranted,
    RunRefused,
    SendToNode,
    StillRunning,
)
from flamingobank.idempotency.moves import KeeperMoveTable
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
    "KeyRejected",
    "IssuedKey",
    "Keeper",
    "KeeperLimits",
    "KeeperMoved",
    "KeeperMoveTable",
    "KeeperName",
    "KeyId",
    "KeyProblem",
    "KeyRecord",
    "KeyRecordAck",
    "KeyState",
    "KeyWrite",
    "KeyedRequest",
    "KeeperRedirect",
    "Prepare",
    "RunRefused",
    "ResendRequired",
    "Replay",
    "ReplicaRecords",
    "RunGranted",
    "SendToNode",
    "StillRunning",
    "OutcomeUnknown",
    "is_issued",
    "issue_key",
    "name_caller_key",
    "parse_key",
    "rank_replicas",
]
