"""Change the state of a key and check that the change is allowed."""

from collections.abc import Mapping

from flamingobank.core import Invariant, check_invariant
from flamingobank.idempotency.keys import KeeperName
from flamingobank.idempotency.messages import RunGranted
from flamingobank.idempotency.table import KeyEntry, KeyState, KeyTable


def change_entry(
    tables: Mapping[KeeperName, KeyTable],
    run: RunGranted,
    before: KeyState,
    after: KeyState,
    status: int = 0,
) -> KeyEntry:
    """Set the state of a key; any other state than expected breaks an invariant."""
    table = tables[run.key_id.keeper]
    old = table.get(run.key_id.sequence)
    not_run = after is KeyState.NOT_RUN
    check_invariant(
        Invariant.NOT_RUN if not_run else Invariant.AT_MOST_ONCE,
        old.state is before and old.generation == run.generation,
        run=run,
        entry=old,
        expected=before,
    )
    generation = old.generation + (1 if not_run else 0)
    entry = KeyEntry(after, generation, status, old.fingerprint)
    table.set(run.key_id.sequence, entry, run.expiry_s)
    return entry
