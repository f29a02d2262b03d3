"""Refuse requests that crash the servers that run them."""

from flamingobank.quarantine.fingerprints import compute_fingerprint
from flamingobank.quarantine.ledger import (
    QUARANTINE_EXPIRY_S,
    Clearance,
    CrashId,
    CrashLedger,
    CrashReport,
)

__all__ = [
    "QUARANTINE_EXPIRY_S",
    "Clearance",
    "CrashId",
    "CrashLedger",
    "CrashReport",
    "compute_fingerprint",
]
