"""Issue and read the keys that name the one process that may run a request."""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from expression import Error, Ok, Result

from flamingobank.core import Fingerprint, NodeId

PREFIX = "fb1"
MAC_BYTES = 12
MAX_KEY_CHARACTERS = 256
_MAC_PERSON = b"flamingobank-key"


class KeeperName(NamedTuple):
    """Name one start of a node; a restarted node is not the keeper of old keys."""

    node: NodeId
    epoch: str


class KeyId(NamedTuple):
    """Name a key without its expiry and MAC."""

    keeper: KeeperName
    sequence: int


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Hold a key whose MAC was right."""

    keeper: KeeperName
    sequence: int
    # Seconds of the wall clock, because it outlives the keeper's process.
    expiry_s: int

    @property
    def key_id(self) -> KeyId:
        """Return the key without its expiry."""
        return KeyId(self.keeper, self.sequence)


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """Say why a key was refused."""

    key: str
    expected: str

    def __str__(self) -> str:
        return f"key {self.key[:80]!r}: expected {self.expected}"


def is_issued(key: str) -> bool:
    """Tell whether a key claims to come from the fleet."""
    return key.startswith(f"{PREFIX}.")


def issue_key(secret: bytes, keeper: KeeperName, sequence: int, expiry_s: int) -> str:
    """Write a key with its MAC."""
    text = f"{PREFIX}.{keeper.node}.{keeper.epoch}.{sequence}.{expiry_s}"
    return f"{text}.{_compute_mac(secret, text)}"


def issue_batch(
    secret: bytes, keeper: KeeperName, first: int, count: int, expiry_s: int
) -> list[str]:
    """Write keys with consecutive sequences."""
    return [
        issue_key(secret, keeper, sequence, expiry_s)
        for sequence in range(first, first + count)
    ]


def parse_key(key: str, secrets: Sequence[bytes]) -> Result[IssuedKey, KeyProblem]:
    """Check a key against the fleet secrets, of which two hold during rotation."""
    if len(key) > MAX_KEY_CHARACTERS or not key.isascii():
        limit = f"at most {MAX_KEY_CHARACTERS} ASCII characters"
        return Error(KeyProblem(key, limit))
    text, _, mac = key.rpartition(".")
    matches = [hmac.compare_digest(mac, _compute_mac(each, text)) for each in secrets]
    if not any(matches):
        return Error(KeyProblem(key, "a key issued by this fleet"))
    # Node ids may hold dots; the other fields do not.
    parts = text.rsplit(".", 3)
    prefix, _, node = parts[0].partition(".")
    if len(parts) != 4 or prefix != PREFIX or not node:
        return Error(KeyProblem(key, f"{PREFIX}.NODE.EPOCH.SEQUENCE.EXPIRY.MAC"))
    keeper = KeeperName(NodeId(node), parts[1])
    return Ok(IssuedKey(keeper, int(parts[2]), int(parts[3])))


def shorten_fingerprint(fingerprint: Fingerprint) -> int:
    """Return the 64 bits of a request's fingerprint that are kept with its key."""
    digest = hashlib.blake2b(fingerprint, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _compute_mac(secret: bytes, text: str) -> str:
    # BLAKE2b keys have at most 64 bytes, secrets may have more.
    key = hashlib.blake2b(secret, digest_size=32).digest()
    mac = hashlib.blake2b(
        text.encode(), key=key, digest_size=MAC_BYTES, person=_MAC_PERSON
    )
    return mac.hexdigest()
