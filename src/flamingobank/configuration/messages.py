"""Define what nodes send each other about the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass

from flamingobank.core import NodeId, Revision
from flamingobank.objects import ObjectKind

Spec = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Hold one object as of a revision; a spec of None deletes it."""

    kind: ObjectKind
    name: str
    revision: Revision
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class Delta:
    """Carry every change after base_revision up to and including revision."""

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

    revision is what the sender had applied. The last chunk has the largest key hash
    as until, so any peer can continue what another peer began.
    """

    revision: Revision
    after: int
    until: int
    records: tuple[bytes, ...]


PeerMessage = Delta | DeltaRequest | SnapshotRequest | SnapshotChunk


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Ask the node to send one message to a member over its TCP link."""

    node_id: NodeId
    message: PeerMessage
