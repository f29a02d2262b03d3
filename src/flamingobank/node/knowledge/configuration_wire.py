"""Convert configuration messages to and from wire messages."""

from flamingobank.configuration import (
    ConfigurationChange,
    Delta,
    DeltaRequest,
    PeerMessage,
    SnapshotChunk,
    SnapshotRequest,
)
from flamingobank.core import Revision
from flamingobank.objects import ObjectKind
from flamingobank.wire import (
    ConfigurationChunk,
    ConfigurationChunkRequest,
    ConfigurationDelta,
    ConfigurationPull,
    Message,
)


def pack_peer_message(message: PeerMessage) -> Message:
    """Return the wire message that carries a configuration message."""
    if isinstance(message, Delta):
        changes = [
            [
                change.kind.value,
                change.name,
                change.revision,
                None if change.spec is None else dict(change.spec),
            ]
            for change in message.changes
        ]
        return ConfigurationDelta(message.base_revision, message.revision, changes)
    if isinstance(message, DeltaRequest):
        return ConfigurationPull(message.base_revision)
    if isinstance(message, SnapshotRequest):
        return ConfigurationChunkRequest(message.after)
    return ConfigurationChunk(
        message.revision, message.after, message.until, list(message.records)
    )


def unpack_peer_message(message: Message) -> PeerMessage | None:
    """Return the configuration message, or None if the fields are malformed."""
    try:
        return _unpack(message)
    except (ValueError, TypeError):
        return None


def _unpack(message: Message) -> PeerMessage | None:
    if isinstance(message, ConfigurationDelta):
        changes = tuple(_unpack_change(*fields[:4]) for fields in message.changes)
        return Delta(
            Revision(message.base_revision), Revision(message.revision), changes
        )
    if isinstance(message, ConfigurationPull):
        return DeltaRequest(Revision(message.base_revision))
    if isinstance(message, ConfigurationChunkRequest):
        return SnapshotRequest(message.after)
    if isinstance(message, ConfigurationChunk):
        records = tuple(message.records)
        if not all(isinstance(record, bytes) for record in records):
            return None
        return SnapshotChunk(
            Revision(message.revision), message.after, message.until, records
        )
    return None


def _unpack_change(
    kind: str, name: str, revision: int, spec: dict | None
) -> ConfigurationChange:
    if spec is not None and not all(
        isinstance(key, str) and isinstance(value, str) for key, value in spec.items()
    ):
        raise ValueError(
            f"spec of {kind} {name!r} has keys or values that are not strings"
        )
    return ConfigurationChange(
        ObjectKind(kind), str(name), Revision(int(revision)), spec
    )
