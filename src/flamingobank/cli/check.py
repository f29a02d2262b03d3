"""Check manifests and settings without a store."""

import argparse

from flamingobank.cli.documents import read_object_sets
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_findings, print_line


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Check files, or directories that each hold the files of one fleet."
    parser = subparsers.add_parser("check", help=text, description=text)
    parser.add_argument("paths", nargs="+", metavar="PATH")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print one line per finding, or the number of valid objects."""
    context = options.context
    has_errors = False
    object_count = 0
    for item_set in read_object_sets(options.paths):
        object_count += len(item_set.items)
        if print_findings(item_set.check(), context.err, context.environ):
            has_errors = True
    if has_errors:
        return ExitCode.BAD_INPUT
    print_line(f"{object_count} objects are valid", context.out)
    return ExitCode.DONE
