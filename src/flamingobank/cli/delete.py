"""Delete objects from the store."""

import argparse

from flamingobank.cli.changes import ChangeMaker, ChangeOutcome
from flamingobank.cli.context import open_session
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_findings, print_line
from flamingobank.cli.plans import merge_objects, read_required_content
from flamingobank.cli.records import PlannedChange
from flamingobank.cli.reports import (
    report_change_failure,
    report_error,
    report_input_errors,
    report_store_error,
)
from flamingobank.objects import ObjectKind, check_objects


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Delete objects; refused if a route needs one of the services."
    parser = subparsers.add_parser("delete", help=text, description=text)
    parser.add_argument("kind", choices=[kind.value for kind in ObjectKind])
    parser.add_argument("names", nargs="+", metavar="NAME")
    parser.add_argument("--reason", default="", help="text for the audit trail")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Delete each named object if it still has the revision that was read."""
    context = options.context
    session = open_session(options)
    if session.is_error():
        return report_input_errors(context, session.error)
    kind = ObjectKind(options.kind)
    wanted = [(kind, name) for name in options.names]
    content = read_required_content(session.ok.store, wanted)
    if content.is_error():
        return report_store_error(context, content.error)
    changes = []
    for name in dict.fromkeys(options.names):
        before = content.ok.stored.get((kind, name))
        if before is None:
            report_error(context, f"{kind.value} {name} does not exist")
            return ExitCode.FAILED
        changes.append(
            PlannedChange("delete", kind.value, name, None, before, options.reason)
        )
    remaining = merge_objects([], content.ok, changes)
    findings = check_objects(remaining, dict.fromkeys(content.ok.stored, "store"))
    if print_findings(findings, context.err, context.environ):
        return ExitCode.BAD_INPUT
    maker = ChangeMaker(session.ok, context)
    for made, change in enumerate(changes):
        result = maker.make(change)
        if result.outcome is not ChangeOutcome.DONE:
            return report_change_failure(
                context, change.title, result, made, len(changes)
            )
        print_line(f"deleted {change.title}", context.out)
    return ExitCode.DONE
