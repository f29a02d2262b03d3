"""Make conditional changes that leave a history and an audit object."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from flamingobank.cli.conflicts import describe_conflict, find_effect
from flamingobank.cli.context import CommandContext, Session
from flamingobank.cli.objects_api import ProblemKind, StoredObject, StoreProblem
from flamingobank.cli.records import (
    AUDIT_KIND,
    HISTORY_KIND,
    Change,
    make_audit_spec,
    make_history_spec,
    make_write_id,
    read_history,
)

# A store that restarts or throttles usually answers within a few seconds; after
# that the operator is told and decides.
ATTEMPTS = 5
MAX_PAUSE_S = 2.0
PASSING = (ProblemKind.UNKNOWN, ProblemKind.LIMITED, ProblemKind.AWAY)


class Outcome(enum.Enum):
    """Say what became of a change."""

    DONE = "done"
    CONFLICT = "conflict"
    NOT_MADE = "not made"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Say what became of a change and why; revision is that of a made change."""

    outcome: Outcome
    detail: str = ""
    revision: int = 0


class ChangeMaker:
    """Make the changes of one command."""

    def __init__(self, session: Session, context: CommandContext) -> None:
        self._store = session.store
        self._who = session.config.operator
        self._context = context

    def make(self, change: Change) -> ChangeResult:
        """Write the audit and history objects, then the object itself.

        The records come first, so that no change exists without them. A record
        whose change was not made is told by its outcome or by the chain of
        replaced write ids.
        """
        now = self._context.read_utc()
        write_id = make_write_id(now, self._context.make_suffix())
        audit = make_audit_spec(change, self._who, now)
        recorded = self._call(
            lambda: self._store.put(AUDIT_KIND, write_id, audit, write_id, None)
        )
        if not _is_recorded(recorded, write_id):
            return _report_unrecorded(recorded.error)
        audit_revision = _get_revision(recorded)
        name = f"{change.kind}/{change.name}/{write_id}"
        spec = make_history_spec(change, self._who, now)
        history = self._call(
            lambda: self._store.put(HISTORY_KIND, name, spec, write_id, None)
        )
        if not _is_recorded(history, write_id):
            result = _report_unrecorded(history.error)
        else:
            result = self._write(change, write_id)
        audit["outcome"] = result.outcome.value
        audit["revision"] = result.revision
        # A lost update leaves the outcome "started"; the chain still tells it.
        self._store.put(AUDIT_KIND, write_id, audit, write_id, audit_revision)
        return result

    def _write(self, change: Change, write_id: str) -> ChangeResult:
        lost: list[bool] = []
        written = self._call(lambda: self._send(change, write_id), lost)
        if written.is_ok():
            return ChangeResult(Outcome.DONE, revision=written.ok)
        problem = written.error
        if problem.kind in (ProblemKind.CONFLICT, ProblemKind.NOT_FOUND):
            return self._resolve(change, write_id, problem.current, bool(lost))
        if problem.kind is ProblemKind.REFUSED:
            return ChangeResult(Outcome.REFUSED, problem.detail)
        if lost:
            detail = f"the write {write_id} was sent and its answer is lost"
            return ChangeResult(Outcome.UNKNOWN, f"{detail}: {problem.detail}")
        return ChangeResult(Outcome.NOT_MADE, problem.detail)

    def _send(self, change: Change, write_id: str) -> Result[int, StoreProblem]:
        before = change.before
        if change.spec is None:
            return self._store.delete(
                change.kind, change.name, write_id, before.revision
            )
        revision = None if before is None else before.revision
        return self._store.put(
            change.kind, change.name, change.spec, write_id, revision
        )

    def _call(
        self,
        send: Callable[[], Result[int, StoreProblem]],
        lost: list[bool] | None = None,
    ) -> Result[int, StoreProblem]:
        """Repeat a conditional write that met a passing problem.

        A repeat is harmless: the condition holds only if the first did not take
        effect, and the write id in the conflict tells whether it did.
        """
        pause_s = 0.1
        for attempt in range(1, ATTEMPTS + 1):
            result = send()
            if result.is_ok():
                return result
            kind = result.error.kind
            if kind not in PASSING:
                return result
            if kind is ProblemKind.UNKNOWN and lost is not None:
                lost.append(True)
            if kind is ProblemKind.LIMITED:
                pause_s = max(pause_s, result.error.retry_after_s)
            if attempt < ATTEMPTS:
                self._context.sleep(min(pause_s, MAX_PAUSE_S))
            pause_s *= 2
        return result

    def _resolve(
        self,
        change: Change,
        write_id: str,
        current: StoredObject | None,
        lost: bool,
    ) -> ChangeResult:
        """Tell an earlier copy of this write from a change by someone else."""
        if current is not None and current.write_id == write_id:
            return ChangeResult(Outcome.DONE, revision=current.revision)
        if lost:
            entries = read_history(self._store, change.kind, change.name)
            effect = find_effect(change, write_id, current, entries.default_value([]))
            if effect is not None:
                return ChangeResult(Outcome.DONE, *effect)
        detail = describe_conflict(self._store, change, current)
        return ChangeResult(Outcome.CONFLICT, detail)


def _is_recorded(result: Result[int, StoreProblem], write_id: str) -> bool:
    """Tell whether a record exists, also when its first answer was lost."""
    if result.is_ok():
        return True
    current = result.error.current
    return current is not None and current.write_id == write_id


def _get_revision(result: Result[int, StoreProblem]) -> int:
    return result.ok if result.is_ok() else result.error.current.revision


def _report_unrecorded(problem: StoreProblem) -> ChangeResult:
    detail = f"the change could not be recorded: {problem.detail}"
    if problem.kind is ProblemKind.REFUSED:
        return ChangeResult(Outcome.REFUSED, detail)
    return ChangeResult(Outcome.NOT_MADE, detail)
