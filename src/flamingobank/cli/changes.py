"""Make conditional changes and record them in the history and the audit trail."""

import enum
from dataclasses import dataclass, replace

from flamingobank.cli.conflicts import describe_conflict, find_write_effect
from flamingobank.cli.context import CommandContext, CommandSession
from flamingobank.cli.object_history import (
    append_history_entry,
    make_history_entry,
    read_history,
)
from flamingobank.cli.records import (
    PlannedChange,
    get_spec,
    make_audit_entry,
    make_audit_object_name,
    make_audit_spec,
    make_write_id,
    read_current,
)
from flamingobank.cli.store_access import UNAVAILABLE_KINDS
from flamingobank.store import StoreError, StoreErrorKind

AUDIT_KIND = "audit"


class ChangeOutcome(enum.Enum):
    """Tell how a change ended."""

    DONE = "done"
    CONFLICT = "conflict"
    NOT_MADE = "not made"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Hold the outcome of a change, its reason, and the revision that was written.

    The revision is 0 if the change was not made, and for a deletion whose answer
    was lost.
    """

    outcome: ChangeOutcome
    detail: str = ""
    revision: int = 0


class ChangeMaker:
    """Make and record the changes of one command."""

    def __init__(self, session: CommandSession, context: CommandContext) -> None:
        self._store = session.store
        self._who = session.config.operator
        self._context = context

    def make(self, change: PlannedChange) -> ChangeResult:
        """Write the audit and history entries, then the object itself.

        The records are written first, so that no change exists without them.
        Records of a change that was not made can be recognized: the result in the
        audit entry says so, or no later history entry names the change's write id
        as the one that it replaced.
        """
        now = self._context.read_utc()
        write_id = make_write_id(now, self._context.make_suffix())
        audit = make_audit_entry(change, write_id, self._who, now)
        name = make_audit_object_name(audit)
        spec = make_audit_spec(audit)
        recorded = self._store.put(AUDIT_KIND, name, spec, None, write_id)
        if recorded.is_error():
            return _make_unrecorded_result(recorded.error)
        entry = make_history_entry(change, write_id, self._who, now)
        appended = append_history_entry(self._store, change.kind, change.name, entry)
        if appended.is_error():
            result = _make_unrecorded_result(appended.error)
        else:
            result = self._write(change, write_id)
        spec = make_audit_spec(replace(audit, result=_describe_result(result)))
        # If this update is lost, the result stays "started"; the history still
        # shows whether the change was made.
        self._store.put(AUDIT_KIND, name, spec, recorded.ok.revision, write_id)
        return result

    def _write(self, change: PlannedChange, write_id: str) -> ChangeResult:
        written = self._send(change, write_id)
        if written.is_ok():
            return ChangeResult(ChangeOutcome.DONE, revision=written.ok.revision or 0)
        error = written.error
        if error.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.NOT_FOUND):
            known = get_spec(change.before)
            detail = describe_conflict(self._store, change, error.current, known)
            return ChangeResult(ChangeOutcome.CONFLICT, detail)
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            return self._resolve_unknown_outcome(change, write_id, error)
        if error.kind in UNAVAILABLE_KINDS:
            return ChangeResult(ChangeOutcome.NOT_MADE, error.detail)
        return ChangeResult(
            ChangeOutcome.REFUSED, f"{error.kind.value}, {error.detail}"
        )

    def _send(self, change: PlannedChange, write_id: str):
        before = change.before
        if change.spec is None:
            return self._store.delete(
                change.kind, change.name, before.revision, write_id
            )
        revision = None if before is None else before.revision
        return self._store.put(
            change.kind, change.name, change.spec, revision, write_id
        )

    def _resolve_unknown_outcome(
        self, change: PlannedChange, write_id: str, error: StoreError
    ) -> ChangeResult:
        """Find out from the object and its history if the write took effect."""
        unknown = ChangeResult(
            ChangeOutcome.UNKNOWN, f"write {write_id} is unconfirmed: {error.detail}"
        )
        current = read_current(self._store, change.kind, change.name)
        if current.is_error():
            return unknown
        entries = read_history(self._store, change.kind, change.name)
        effect = find_write_effect(
            change, write_id, current.ok, entries.default_value([])
        )
        return unknown if effect is None else ChangeResult(ChangeOutcome.DONE, *effect)


def _describe_result(result: ChangeResult) -> str:
    if not result.revision:
        return result.outcome.value
    return f"{result.outcome.value} at revision {result.revision}"


def _make_unrecorded_result(error: StoreError) -> ChangeResult:
    detail = f"the change could not be recorded: {error}"
    if error.kind in UNAVAILABLE_KINDS or error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
        return ChangeResult(ChangeOutcome.NOT_MADE, detail)
    return ChangeResult(ChangeOutcome.REFUSED, detail)
