"""Decide on retries, hedged requests and resumed downloads."""

from flamingobank.retries.budget import RetryBudget
from flamingobank.retries.decisions import (
    MAX_ATTEMPTS,
    RetryDecision,
    admit_attempt,
    decide_retry,
    merge_dispositions,
)
from flamingobank.retries.hedges import HedgeDecision, HedgeRace, decide_hedge
from flamingobank.retries.resumption import (
    ResumedPart,
    ResumeRefusal,
    ResumeRequest,
    Resumption,
)

__all__ = [
    "HedgeDecision",
    "HedgeRace",
    "MAX_ATTEMPTS",
    "ResumeRefusal",
    "ResumeRequest",
    "ResumedPart",
    "Resumption",
    "RetryBudget",
    "RetryDecision",
    "admit_attempt",
    "decide_hedge",
    "decide_retry",
    "merge_dispositions",
]
