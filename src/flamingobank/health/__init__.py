"""Detect failing servers from their real work and eject outliers.

Ejections never take a service below its floor, the number of servers that must
stay in service.
"""

from flamingobank.health.cusum import (
    FAILURE_LLR,
    SLOW_LLR,
    Cusum,
    expect_false_alarms,
)
from flamingobank.health.detector import SLOW_FACTOR, ServerHealth
from flamingobank.health.evidence import (
    DEFAULT_BASELINE,
    FAILURE_RATE_FLOOR,
    SLOW_RATE_FLOOR,
    Assessment,
    Baseline,
    Cause,
    Condition,
    Finding,
    OutlierVerdict,
    ServerSummary,
    WorkOutcome,
)
from flamingobank.health.floor import FloorLedger
from flamingobank.health.floor_messages import (
    DenialReason,
    EjectionDecision,
    EjectionState,
    FloorDenial,
    FloorGrant,
    FloorMessage,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
)
from flamingobank.health.outliers import derive_baseline, judge_outlier
from flamingobank.health.paths import PathDecision, PathEvidence, judge_path
from flamingobank.health.readmission import Readmission, Stage

__all__ = [
    "DEFAULT_BASELINE",
    "FAILURE_LLR",
    "FAILURE_RATE_FLOOR",
    "SLOW_FACTOR",
    "SLOW_LLR",
    "SLOW_RATE_FLOOR",
    "Assessment",
    "Baseline",
    "Cause",
    "Condition",
    "Cusum",
    "DenialReason",
    "EjectionDecision",
    "EjectionState",
    "Finding",
    "FloorDenial",
    "FloorGrant",
    "FloorLedger",
    "FloorMessage",
    "FloorRelease",
    "FloorRequest",
    "FloorRevocation",
    "WorkOutcome",
    "PathDecision",
    "PathEvidence",
    "Readmission",
    "ServerHealth",
    "ServerSummary",
    "Stage",
    "OutlierVerdict",
    "derive_baseline",
    "expect_false_alarms",
    "judge_outlier",
    "judge_path",
]
