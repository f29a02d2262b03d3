"""Bound what a keeper holds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeeperLimits:
    """Bound what a keeper holds."""

    key_lifetime_s: int = 86_400
    # Expired keys are remembered this much longer, to tell "never accepted".
    expired_retention_s: int = 86_400
    max_answer_bytes: int = 16_384
    max_answers_bytes: int = 8_388_608
    max_keys: int = 1_000_000
