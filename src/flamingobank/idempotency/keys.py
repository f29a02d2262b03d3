"""Issue and parse keys; a key names the one process that may run its request."""

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
    """Identify one process of a node; after a restart it no longer keeps old keys."""

    node: NodeId
    epoch: str


class KeyId(NamedTuple):
    """Identify a key without its expiry and MAC."""

    keeper: KeeperName
    sequence: int


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A parsed key whose MAC was valid."""

    keeper: KeeperName
    sequence: int
    # Wall clock seconds, because the key outlives the process of its keeper.
    expiry_s: int

    @property
    def key_id(self) -> KeyId:
        """Return the identity of the key, which does not include its expiry."""
        return KeyId(self.keeper, self.sequence)


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """Why a key could not be parsed."""

    key: str
    expected: str

    def __str__(self) -> str:
        return f"key {self.key[:80]!r}: expected {self.expected}"


def is_issued(key: str) -> bool:
    """Tell whether a key has the prefix of issued keys; its MAC is not checked."""
    return key.startswith(f"{PREFIX}.")


def issue_key(secret: bytes, keeper: KeeperName, sequence: int, expiry_s: int) -> str:
    """Return the text of a key, signed with the fleet secret."""
    text = f"{PREFIX}.{keeper.node}.{keeper.epoch}.{sequence}.{expiry_s}"
    return f"{text}.{_compute_mac(secret, text)}"


def issue_batch(
    secret: bytes, keeper: KeeperName, first: int, count: int, expiry_s: int
) -> list[str]:
    """Return the texts of keys with consecutive sequence numbers."""
    return [
        issue_key(secret, keeper, sequence, expiry_s)
        for sequence in range(first, first + count)
    ]


def parse_key(key: str, secrets: Sequence[bytes]) -> Result[IssuedKey, KeyProblem]:
    """Parse a key that one of the fleet secrets signed; rotation has two secrets."""
    if len(key) > MAX_KEY_CHARACTERS or not key.isascii():
        limit = f"at most {MAX_KEY_CHARACTERS} ASCII characters"
        return Error(KeyProblem(key, limit))
    text, _, mac = key.rpartition(".")
    matches = [hmac.compare_digest(mac, _compute_mac(each, text)) for each in secrets]
    if not any(matches):
        return Error(KeyProblem(key, "a key issued by this fleet"))
    # Node ids may contain dots; the other fields do not.
    parts = text.rsplit(".", 3)
    prefix, _, node = parts[0].partition(".")
    if len(parts) != 4 or prefix != PREFIX or not node:
        return Error(KeyProblem(key, f"{PREFIX}.NODE.EPOCH.SEQUENCE.EXPIRY.MAC"))
    keeper = KeeperName(NodeId(node), parts[1])
    return Ok(IssuedKey(keeper, int(parts[2]), int(parts[3])))


def shorten_fingerprint(fingerprint: Fingerprint) -> int:
    """Return the 64-bit hash of a request's fingerprint that is kept with its key."""
    digest = hashlib.blake2b(fingerprint, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _compute_mac(secret: bytes, text: str) -> str:
    # BLAKE2b accepts keys of at most 64 bytes; secrets may be longer.
    key = hashlib.blake2b(secret, digest_size=32).digest()
    mac = hashlib.blake2b(
        text.encode(), key=key, digest_size=MAC_BYTES, person=_MAC_PERSON
    )
    return mac.hexdigest()
