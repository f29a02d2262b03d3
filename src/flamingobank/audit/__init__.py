"""Keep an append-only trail of changes in the store."""

from flamingobank.audit.entries import (
    AuditEntry,
    AuditFilter,
    parse_entry,
    select_entries,
)
from flamingobank.audit.reading import read_audit
from flamingobank.audit.trail import AuditBatch, AuditTrail, format_hour, is_expired

__all__ = [
    "AuditBatch",
    "AuditEntry",
    "AuditFilter",
    "AuditTrail",
    "format_hour",
    "is_expired",
    "parse_entry",
    "read_audit",
    "select_entries",
]
