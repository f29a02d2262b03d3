"""Define workspaces, whose requests carry keys."""

import hashlib
from dataclasses import dataclass, field
from typing import NewType

from flamingobank.core import WorkspaceId

KeyDigest = NewType("KeyDigest", bytes)
KEY_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with the digests of its keys and its rate limit."""

    name: WorkspaceId
    # The keys themselves are not kept, so that none is passed on, logged or shown.
    key_digests: tuple[KeyDigest, ...] = field(repr=False)
    # Takes precedence over the priority of the route; None to use only that.
    priority: int | None
    # Requests per second over all machines; 0 for no limit.
    rate_per_s: float
    burst: float


def hash_key(key: bytes) -> KeyDigest:
    """Return the digest by which a key is found."""
    return KeyDigest(hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest())


def pack_workspace(workspace: Workspace) -> list:
    """Encode a workspace for the protocol between nodes."""
    return [
        workspace.name,
        list(workspace.key_digests),
        workspace.priority,
        workspace.rate_per_s,
        workspace.burst,
    ]


def unpack_workspace(fields: list) -> Workspace:
    """Decode a packed workspace; raises ValueError for a malformed one."""
    name, digests, priority, rate_per_s, burst = fields
    for digest in digests:
        if type(digest) is not bytes or len(digest) != KEY_DIGEST_BYTES:
            raise ValueError(f"workspace {name!r:.80} has a malformed key digest")
    return Workspace(
        WorkspaceId(name),
        tuple(KeyDigest(digest) for digest in digests),
        priority,
        rate_per_s,
        burst,
    )
