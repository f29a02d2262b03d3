"""Admission control: decide which work starts, waits or is refused."""

from flamingobank.admission.long_work import LongWorkPolicy
from flamingobank.admission.queue import AdmissionQueue
from flamingobank.admission.work import (
    Admitted,
    CancelOutcome,
    Lane,
    RefusedWork,
    ServerChange,
    ServiceLoad,
    StartOutcome,
    TakenWork,
    Work,
)

__all__ = [
    "Admitted",
    "AdmissionQueue",
    "CancelOutcome",
    "Lane",
    "LongWorkPolicy",
    "RefusedWork",
    "ServerChange",
    "ServiceLoad",
    "StartOutcome",
    "TakenWork",
    "Work",
]
