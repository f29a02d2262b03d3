"""Read the audit trail for the command line."""

from expression import Error, Ok, Result

from flamingobank.audit.entries import AuditEntry, AuditFilter, select_entries
from flamingobank.audit.trail import AUDIT_KIND, format_hour
from flamingobank.store import BlockingStore, StoreError

# Batches are listed from the hour of the earliest wanted entry, less this margin. A
# batch is named by the hour in which it was made, which is earlier than the hour of one
# of its entries only if two clocks differ.
CLOCK_SKEW_MARGIN_S = 3600


def read_audit(
    store: BlockingStore, selection: AuditFilter
) -> Result[list[AuditEntry], StoreError]:
    """Return the selected entries in order of time."""
    since_s = max(0.0, selection.since_ms / 1000 - CLOCK_SKEW_MARGIN_S)
    listing = store.list_all(AUDIT_KIND, after=format_hour(since_s))
    if listing.is_error():
        return Error(listing.error)
    return Ok(select_entries((item.spec for item in listing.ok.items), selection))
