"""Apply manifests to the store, or show how they differ from it."""

import argparse

from expression import Error, Ok, Result

from flamingobank.cli.changes import ChangeMaker, ChangeOutcome
from flamingobank.cli.conflicts import describe_conflict, find_spec_at
from flamingobank.cli.context import CommandContext, CommandSession, open_session
from flamingobank.cli.documents import ObjectSet, read_merged_set
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import colorize, print_findings, print_line, use_color
from flamingobank.cli.plans import (
    StoreContent,
    merge_objects,
    plan_changes,
    read_required_content,
)
from flamingobank.cli.records import PlannedChange, describe_difference, get_spec
from flamingobank.cli.reports import (
    report_change_failure,
    report_error,
    report_input_errors,
    report_store_error,
)
from flamingobank.cli.waiting import WAIT_TIMEOUT_S, wait_until_in_force
from flamingobank.objects import check_objects

_ACTION_COLORS = {"create": "green", "update": "yellow", "delete": "red"}


def add_parser(subparsers) -> None:
    """Add the parsers of the apply and diff subcommands."""
    text = "Write the objects of manifests to the store."
    parser = subparsers.add_parser("apply", help=text, description=text)
    _add_common_arguments(parser)
    parser.add_argument("--dry-run", action="store_true", help="show the changes only")
    parser.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="refuse to change objects that changed after this revision",
    )
    parser.add_argument("--reason", default="", help="text for the audit trail")
    parser.add_argument(
        "--wait", action="store_true", help="wait for all nodes to use the changes"
    )
    parser.add_argument(
        "--timeout", type=float, default=WAIT_TIMEOUT_S, metavar="SECONDS"
    )
    parser.set_defaults(run=run_apply)
    text = "Show how manifests differ from the store; exit code 1 when they do."
    parser = subparsers.add_parser("diff", help=text, description=text)
    _add_common_arguments(parser)
    parser.set_defaults(run=run_diff)


def _add_common_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("paths", nargs="+", metavar="PATH")
    parser.add_argument(
        "--prune",
        action="store_true",
        help="delete objects that the manifests lack, only of the kinds they contain",
    )


def run_diff(options: argparse.Namespace) -> ExitCode:
    """Print the differences; return FAILED if there are any."""
    planned = _plan(options, reason="")
    if planned.is_error():
        return planned.error
    _, _, changes = planned.ok
    _print_changes(options.context, changes)
    return ExitCode.FAILED if changes else ExitCode.DONE


def run_apply(options: argparse.Namespace) -> ExitCode:
    """Make the planned changes in order; stop at the first that fails."""
    context = options.context
    planned = _plan(options, options.reason)
    if planned.is_error():
        return planned.error
    session, content, changes = planned.ok
    if options.base is not None:
        code = _check_base(context, session, changes, options.base)
        if code is not ExitCode.DONE:
            return code
    _print_changes(context, changes)
    if options.dry_run:
        print_line(f"{format_change_count(changes)} planned, none made", context.out)
        return ExitCode.DONE
    maker = ChangeMaker(session, context)
    # The highest revision of a configuration object, not that of the store, which
    # audit and history objects raise too. Nodes do not read these and never report
    # their revisions, so a wait for the store's revision would time out.
    revision = max((item.revision for item in content.stored.values()), default=0)
    for made, change in enumerate(changes):
        result = maker.make(change)
        if result.outcome is not ChangeOutcome.DONE:
            return report_change_failure(
                context, change.title, result, made, len(changes)
            )
        revision = max(revision, result.revision)
    print_line(f"{format_change_count(changes)} made, revision {revision}", context.out)
    if options.wait:
        return wait_until_in_force(session, context, revision, options.timeout)
    return ExitCode.DONE


def _plan(
    options: argparse.Namespace, reason: str
) -> Result[tuple[CommandSession, StoreContent, list[PlannedChange]], ExitCode]:
    context = options.context
    wanted = read_merged_set(options.paths)
    if wanted.errors:
        return Error(report_input_errors(context, wanted.errors))
    session = open_session(options)
    if session.is_error():
        return Error(report_input_errors(context, session.error))
    content = read_required_content(session.ok.store, wanted.sources, options.prune)
    if content.is_error():
        return Error(report_store_error(context, content.error))
    changes = plan_changes(wanted.items, content.ok, options.prune, reason)
    if _print_object_errors(context, wanted, content.ok, changes):
        return Error(ExitCode.BAD_INPUT)
    return Ok((session.ok, content.ok, changes))


def _print_object_errors(
    context: CommandContext,
    wanted: ObjectSet,
    content: StoreContent,
    changes: list[PlannedChange],
) -> bool:
    """Print the findings on the objects that would be in force together.

    Return whether any of them is an error.
    """
    merged = merge_objects(wanted.items, content, changes)
    sources = dict.fromkeys(content.stored, "store") | wanted.sources
    findings = check_objects(merged, sources)
    return print_findings(findings, context.err, context.environ)


def _check_base(
    context: CommandContext,
    session: CommandSession,
    changes: list[PlannedChange],
    base: int,
) -> ExitCode:
    newer = [
        change
        for change in changes
        if change.before is not None and change.before.revision > base
    ]
    for change in newer:
        known = find_spec_at(session.store, change, base)
        text = describe_conflict(session.store, change, change.before, known)
        report_error(context, f"conflict: {text}")
    return ExitCode.CONFLICT if newer else ExitCode.DONE


def _print_changes(context: CommandContext, changes: list[PlannedChange]) -> None:
    color = use_color(context.out, context.environ)
    for change in changes:
        title = f"{change.action} {change.title}"
        print_line(colorize(title, _ACTION_COLORS[change.action], color), context.out)
        for line in describe_difference(get_spec(change.before), change.spec):
            color_name = "red" if line.startswith("-") else "green"
            print_line("  " + colorize(line, color_name, color), context.out)


def format_change_count(changes: list[PlannedChange]) -> str:
    """Return the number of changes with its noun."""
    return "1 change" if len(changes) == 1 else f"{len(changes)} changes"
