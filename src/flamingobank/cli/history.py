"""Show the history of an object and restore earlier content."""

import argparse

from expression import Error, Ok, Result

from flamingobank.cli.changes import ChangeMaker, ChangeOutcome
from flamingobank.cli.context import CommandSession, open_session
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.object_history import HistoryEntry, find_revisions, read_history
from flamingobank.cli.output import format_table, print_findings, print_line
from flamingobank.cli.plans import merge_objects, read_required_content
from flamingobank.cli.records import (
    PlannedChange,
    describe_difference,
    read_current,
)
from flamingobank.cli.reports import (
    report_change_failure,
    report_error,
    report_input_errors,
    report_store_error,
)
from flamingobank.objects import ObjectKind, check_objects, parse_spec
from flamingobank.store import StoredObject

NOT_CONFIRMED = "not confirmed"


def add_parser(subparsers) -> None:
    """Add the parsers of the history and rollback subcommands."""
    text = "Show who changed an object, when and how."
    parser = subparsers.add_parser("history", help=text, description=text)
    _add_object_arguments(parser)
    parser.set_defaults(run=run_history)
    text = "Write a new revision with earlier content."
    parser = subparsers.add_parser("rollback", help=text, description=text)
    _add_object_arguments(parser)
    parser.add_argument(
        "--to", type=int, metavar="REVISION", help="default: the previous content"
    )
    parser.add_argument("--reason", default="", help="text for the audit trail")
    parser.set_defaults(run=run_rollback)


def _add_object_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=[kind.value for kind in ObjectKind])
    parser.add_argument("name")


def run_history(options: argparse.Namespace) -> ExitCode:
    """Print one row for each attempt to change the object."""
    opened = _load_history(options)
    if opened.is_error():
        return opened.error
    _, current, entries = opened.ok
    revisions = find_revisions(entries, current)
    rows = []
    for entry in entries:
        revision = revisions.get(entry.write_id)
        revision_text = NOT_CONFIRMED if revision is None else str(revision)
        if entry.spec is None and _is_deleted(entry, entries, current):
            revision_text = "deleted"
        before = _find_spec(entries, entry.replaced_write_id)
        what = "; ".join(describe_difference(before, entry.spec))
        rows.append([revision_text, entry.when, entry.who, entry.action, what])
    header = ["revision", "when", "who", "action", "changes"]
    print_line(format_table(header, rows), options.context.out)
    return ExitCode.DONE


def run_rollback(options: argparse.Namespace) -> ExitCode:
    """Write earlier content if the object has not changed since it was read."""
    context = options.context
    opened = _load_history(options)
    if opened.is_error():
        return opened.error
    session, current, entries = opened.ok
    target = _choose_target(entries, current, options.to)
    if target is None:
        wanted = "before" if options.to is None else f"of revision {options.to}"
        known = sorted(find_revisions(entries, current).values())
        report_error(
            context,
            f"{options.kind} {options.name}: no content {wanted} in the history, "
            f"expected one of the revisions {', '.join(map(str, known))}",
        )
        return ExitCode.BAD_INPUT
    change = PlannedChange(
        "rollback", options.kind, options.name, target.spec, current, options.reason
    )
    code = _check_result(options, session, change)
    if code is not ExitCode.DONE:
        return code
    result = ChangeMaker(session, context).make(change)
    if result.outcome is not ChangeOutcome.DONE:
        return report_change_failure(context, change.title, result, 0, 1)
    print_line(
        f"{change.title} has the content written by {target.who} at {target.when}, "
        f"revision {result.revision}",
        context.out,
    )
    return ExitCode.DONE


def _load_history(
    options: argparse.Namespace,
) -> Result[tuple[CommandSession, StoredObject | None, list[HistoryEntry]], ExitCode]:
    context = options.context
    session = open_session(options)
    if session.is_error():
        return Error(report_input_errors(context, session.error))
    current = read_current(session.ok.store, options.kind, options.name)
    if current.is_error():
        return Error(report_store_error(context, current.error))
    entries = read_history(session.ok.store, options.kind, options.name)
    if entries.is_error():
        return Error(report_store_error(context, entries.error))
    if not entries.ok and current.ok is None:
        report_error(context, f"{options.kind} {options.name} does not exist")
        return Error(ExitCode.FAILED)
    return Ok((session.ok, current.ok, entries.ok))


def _choose_target(
    entries: list[HistoryEntry], current: StoredObject | None, revision: int | None
) -> HistoryEntry | None:
    revisions = find_revisions(entries, current)
    known = [
        entry
        for entry in entries
        if entry.spec is not None and entry.write_id in revisions
    ]
    if revision is not None:
        chosen = [entry for entry in known if revisions[entry.write_id] == revision]
        return chosen[0] if chosen else None
    if current is not None:
        known = [entry for entry in known if entry.write_id != current.write_id]
    return max(known, key=lambda entry: revisions[entry.write_id], default=None)


def _check_result(
    options: argparse.Namespace, session: CommandSession, change: PlannedChange
) -> ExitCode:
    """Refuse content that is invalid together with the other current objects."""
    context = options.context
    parsed = parse_spec(ObjectKind(change.kind), change.name, change.spec, "history")
    if parsed.is_error():
        return report_input_errors(context, parsed.error)
    content = read_required_content(session.store, [])
    if content.is_error():
        return report_store_error(context, content.error)
    merged = merge_objects([parsed.ok], content.ok, [])
    sources = dict.fromkeys(content.ok.stored, "store")
    sources[ObjectKind(change.kind), change.name] = "history"
    if print_findings(check_objects(merged, sources), context.err, context.environ):
        return ExitCode.BAD_INPUT
    return ExitCode.DONE


def _find_spec(entries: list[HistoryEntry], write_id: str):
    for entry in entries:
        if entry.write_id == write_id:
            return entry.spec
    return None


def _is_deleted(
    entry: HistoryEntry, entries: list[HistoryEntry], current: StoredObject | None
) -> bool:
    """Tell whether the object did not exist after this attempt to delete it."""
    later = [other for other in entries if other.write_id > entry.write_id]
    if not later:
        return current is None
    return any(
        other.spec is not None and not other.replaced_write_id for other in later
    )
