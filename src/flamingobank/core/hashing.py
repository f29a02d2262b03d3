"""Rendezvous hashing, which assigns keys to owners."""

import hashlib
from collections.abc import Iterable


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same on every node and in every run."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous weight for a key."""
    return sorted(
        candidates, key=lambda name: (hash_text(f"{key}\x00{name}"), name), reverse=True
    )
