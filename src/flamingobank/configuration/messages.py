"""Define the configuration messages between nodes."""

from collections.abc import Mapping
from dataclasses import dataclass

from flamingobank.core import NodeId, Revision
from flamingobank.objects import ObjectKind

Spec = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """One object at a revision; a spec of None means that it was deleted."""

    kind: ObjectKind
    name: str
    revision: Revision
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class Delta:
    """Carry all changes after base_revision up to and including revision."""

    base_revision: Revision
    revision: Revision
    changes: tuple[ConfigurationChange, ...]


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """Ask for the changes after a revision."""

    base_revision: Revision


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Ask for the packed records whose key hash is above a value."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Carry all packed records with after < key hash <= until.

    ``revision`` is the one the sender had in force. The last chunk has the largest key
    hash as ``until``. Any peer can continue a snapshot that another peer began.
    """

    revision: Revision
    after: int
    until: int
    records: tuple[bytes, ...]


PeerMessage = Delta | DeltaRequest | SnapshotRequest | SnapshotChunk


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Ask the node to send a message to a member over its TCP link."""

    node_id: NodeId
    message: PeerMessage
