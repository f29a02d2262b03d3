"""Compute fingerprints, which are equal for copies of the same request."""

import hashlib

from flamingobank.core import Fingerprint, RouteName

FINGERPRINT_BYTES = 16
# Hashed first, so that keyed and unkeyed requests never share a fingerprint.
_KEYED = b"key"
_CONTENT = b"content"


def compute_fingerprint(
    route: RouteName, key: str, method: str, path: str, body: bytes
) -> Fingerprint:
    """Return 16 bytes that are equal for copies of one request on all nodes.

    A request with an idempotency key is identified by route and key, any other by
    method, path and body.
    """
    if key:
        return _hash_fields(_KEYED, route.encode(), _encode(key))
    return _hash_fields(_CONTENT, method.upper().encode(), _encode(path), body)


def _encode(text: str) -> bytes:
    # Header values and request targets may contain bytes that are not UTF-8.
    return text.encode("utf-8", "surrogateescape")


def _hash_fields(*fields: bytes) -> Fingerprint:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # The length prefix distinguishes "ab" + "c" from "a" + "bc".
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return Fingerprint(digest.digest())
