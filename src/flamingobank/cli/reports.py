"""Report failures to the operator and return the exit code of each."""

from flamingobank.cli.changes import ChangeOutcome, ChangeResult
from flamingobank.cli.context import CommandContext
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import colorize, print_line, use_color
from flamingobank.cli.store_access import UNAVAILABLE_KINDS
from flamingobank.store import StoreError


def report_error(context: CommandContext, text: str) -> None:
    """Write an error line."""
    color = use_color(context.err, context.environ)
    print_line(colorize(f"error: {text}", "red", color), context.err)


def report_store_error(context: CommandContext, error: StoreError) -> ExitCode:
    """Report a failed read of the store; reads come before all changes."""
    if error.kind in UNAVAILABLE_KINDS:
        report_error(
            context,
            f"store unavailable: {error}; nothing was changed, "
            "and the nodes keep the configuration that is in force",
        )
        return ExitCode.STORE_UNAVAILABLE
    report_error(context, f"store: {error}")
    return ExitCode.FAILED


def report_change_failure(
    context: CommandContext, title: str, result: ChangeResult, made: int, planned: int
) -> ExitCode:
    """Report a change that was not made or may have been made."""
    counts = f"{made} of {planned} changes were made"
    if result.outcome is ChangeOutcome.CONFLICT:
        report_error(context, f"conflict: {result.detail} ({counts})")
        return ExitCode.CONFLICT
    if result.outcome is ChangeOutcome.UNKNOWN:
        report_error(
            context,
            f"outcome of {title} unknown: {result.detail} ({counts} for certain); "
            "run 'flamingobank diff' when the store answers again",
        )
        return ExitCode.UNKNOWN
    if result.outcome is ChangeOutcome.NOT_MADE:
        known = "nothing was changed" if not made else counts
        report_error(context, f"store unavailable: {title}: {result.detail}; {known}")
        return ExitCode.FAILED if made else ExitCode.STORE_UNAVAILABLE
    report_error(context, f"{title}: store refused: {result.detail} ({counts})")
    return ExitCode.FAILED


def report_input_errors(context: CommandContext, errors) -> ExitCode:
    """Report invalid input with one line per error."""
    for error in errors:
        report_error(context, str(error))
    return ExitCode.BAD_INPUT
