"""Limit what a keeper keeps in memory and for how long."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeeperLimits:
    """Limits on the keys and answers of one keeper."""

    key_lifetime_s: int = 86_400
    # Expired keys are kept this much longer, to tell whether they were ever accepted.
    expired_retention_s: int = 86_400
    max_answer_bytes: int = 16_384
    max_answers_bytes: int = 8_388_608
    max_keys: int = 1_000_000
