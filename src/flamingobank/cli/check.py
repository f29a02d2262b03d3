"""Check manifests and settings without a store."""

import argparse

from flamingobank.cli.documents import read_sets
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_findings, print_line


def add_parser(subparsers) -> None:
    """Describe the subcommand."""
    text = "Check files, or directories of one fleet each."
    parser = subparsers.add_parser("check", help=text, description=text)
    parser.add_argument("paths", nargs="+", metavar="PATH")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print one line per finding."""
    context = options.context
    wrong = False
    objects = 0
    for item_set in read_sets(options.paths):
        objects += len(item_set.items)
        if print_findings(item_set.check(), context.err, context.environ):
            wrong = True
    if wrong:
        return ExitCode.BAD_INPUT
    print_line(f"{objects} objects are valid", context.out)
    return ExitCode.DONE
