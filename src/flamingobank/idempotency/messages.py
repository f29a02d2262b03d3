"""Define the messages about keyed requests and the decisions on them."""

from collections.abc import Sequence
from dataclasses import dataclass

from flamingobank.core import Disposition, Fingerprint, NodeId, RefusalCause
from flamingobank.idempotency.keys import KeeperName, KeyId
from flamingobank.idempotency.table import ChunkImage, KeyState


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Ask a key's keeper for a decision; the request is sent after RunGranted."""

    key: str
    fingerprint: Fingerprint
    # The generation from the ResendRequired that answered an earlier KeyedRequest for
    # this request, or 0 without one. The request may run only if it is equal to the
    # generation in the key's record, which each "not run" increments.
    generation: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Tell a replica or a successor the state of a key."""

    key_id: KeyId
    # Increases with each change of the key, so that delayed records are ignored.
    version: int
    state: KeyState
    generation: int
    status: int
    fingerprint: int
    expiry_s: int
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class KeyRecordAck:
    """Confirm that a replica or a successor stored a record."""

    key_id: KeyId
    version: int
    replica: NodeId


@dataclass(frozen=True, slots=True)
class HandoverPart:
    """Carry a part of a sealed keeper's records to its successor.

    A sealed keeper accepts no more requests.
    """

    sealed: KeeperName
    successor: KeeperName
    index: int
    total: int
    # All keeper names that are handed over, including those without a record.
    keepers: tuple[KeeperName, ...]
    chunks: tuple[tuple[KeeperName, ChunkImage], ...]
    answers: tuple[tuple[KeyId, bytes], ...]


@dataclass(frozen=True, slots=True)
class HandoverAck:
    """Confirm that the successor has taken over the sealed keeper's keys."""

    sealed: KeeperName
    successor: KeeperName


@dataclass(frozen=True, slots=True)
class KeeperMoved:
    """Tell every node which process took over the keys of sealed keepers."""

    keepers: tuple[KeeperName, ...]
    successor: KeeperName


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Ask this process to send a message to a node."""

    to: NodeId
    message: KeyRecord | KeyRecordAck | HandoverPart | HandoverAck


@dataclass(frozen=True, slots=True)
class RunGranted:
    """Permission to run a request once; its outcome is recorded with this value."""

    key_id: KeyId
    generation: int
    expiry_s: int


@dataclass(frozen=True, slots=True)
class Prepare:
    """Send the records and hold the request until RunGranted or RunRefused."""

    key_id: KeyId
    sends: Sequence[SendToNode]


@dataclass(frozen=True, slots=True)
class RunRefused:
    """Refuse a request that was held after Prepare; it was not run."""

    key_id: KeyId
    reason: RefusalCause


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the recorded outcome; without an answer, only its status was kept."""

    status: int
    answer: bytes | None
    disposition: Disposition = Disposition.DONE


@dataclass(frozen=True, slots=True)
class StillRunning:
    """Answer that an earlier request with the key has not ended."""

    disposition: Disposition = Disposition.STILL_RUNNING


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Answer that a request with the key may have run."""

    reason: RefusalCause
    disposition: Disposition = Disposition.UNKNOWN


@dataclass(frozen=True, slots=True)
class KeyRejected:
    """Reject a request for the given reason; it was not run."""

    reason: RefusalCause
    detail: str
    disposition: Disposition = Disposition.NOT_RUN


@dataclass(frozen=True, slots=True)
class ResendRequired:
    """Ask the entry to send the request again with this generation.

    The entry does so only while its caller waits and less than half of the time until
    the deadline has passed.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class KeeperRedirect:
    """Name the process to ask instead; None if the sealed keeper has no successor."""

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
