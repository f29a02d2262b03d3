"""Define the messages of keyed requests and the decisions about them."""

from collections.abc import Sequence
from dataclasses import dataclass

from flamingobank.core import Disposition, Fingerprint, NodeId, RefusalCause
from flamingobank.idempotency.keys import KeeperName, KeyId
from flamingobank.idempotency.table import ChunkImage, KeyState


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Ask a key's keeper for a decision; the request itself follows RunGranted."""

    key: str
    fingerprint: Fingerprint
    # From an earlier ResendRequired for this same request of a caller, else 0.
    generation: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Tell a replica or a successor what is known about a key."""

    key_id: KeyId
    # Grows with each change of the key, so that a delayed record changes nothing.
    version: int
    state: KeyState
    generation: int
    status: int
    fingerprint: int
    expiry_s: int
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class KeyRecordAck:
    """Confirm that a record is kept."""

    key_id: KeyId
    version: int
    replica: NodeId


@dataclass(frozen=True, slots=True)
class HandoverPart:
    """Carry a part of a sealed keeper's records to its one successor."""

    sealed: KeeperName
    successor: KeeperName
    index: int
    total: int
    # All names that pass on, also those without a record.
    keepers: tuple[KeeperName, ...]
    chunks: tuple[tuple[KeeperName, ChunkImage], ...]
    answers: tuple[tuple[KeyId, bytes], ...]


@dataclass(frozen=True, slots=True)
class HandoverAck:
    """Confirm that the successor is the keeper from now on."""

    sealed: KeeperName
    successor: KeeperName


@dataclass(frozen=True, slots=True)
class KeeperMoved:
    """Tell every node which process keeps the keys of a sealed keeper."""

    keepers: tuple[KeeperName, ...]
    successor: KeeperName


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Ask for a message to be sent to a node."""

    to: NodeId
    message: KeyRecord | KeyRecordAck | HandoverPart | HandoverAck


@dataclass(frozen=True, slots=True)
class RunGranted:
    """Let a request run once; the outcome is recorded with this value."""

    key_id: KeyId
    generation: int
    expiry_s: int


@dataclass(frozen=True, slots=True)
class Prepare:
    """Keep the request until RunGranted or RunRefused is returned for the key."""

    key_id: KeyId
    sends: Sequence[SendToNode]


@dataclass(frozen=True, slots=True)
class RunRefused:
    """Refuse a prepared request; it was not run."""

    key_id: KeyId
    reason: RefusalCause


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the recorded outcome; without an answer only its status is kept."""

    status: int
    answer: bytes | None
    disposition: Disposition = Disposition.DONE


@dataclass(frozen=True, slots=True)
class StillRunning:
    """Say that an earlier request with the key has not ended."""

    disposition: Disposition = Disposition.STILL_RUNNING


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Say that a request with the key may have run."""

    reason: RefusalCause
    disposition: Disposition = Disposition.UNKNOWN


@dataclass(frozen=True, slots=True)
class KeyRejected:
    """Refuse a request whose key does not fit; it was not run."""

    reason: RefusalCause
    detail: str
    disposition: Disposition = Disposition.NOT_RUN


@dataclass(frozen=True, slots=True)
class ResendRequired:
    """Ask the entry to send the request again with this generation.

    The entry does so only while its caller waits and less than half of the time to
    the deadline has passed.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class KeeperRedirect:
    """Name the process to ask; None when the sealed keeper has no successor."""

    successor: KeeperName | None


KeyDecision = (
    RunGranted
    | Prepare
    | Replay
    | StillRunning
    | OutcomeUnknown
    | KeyRejected
    | ResendRequired
    | KeeperRedirect
)
