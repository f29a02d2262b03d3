"""Parse arguments and call the subcommand they name."""

import argparse
import sys

from flamingobank import __version__
from flamingobank.cli import node


def build_parser() -> argparse.ArgumentParser:
    """Describe the command line."""
    parser = argparse.ArgumentParser(
        prog="flamingobank",
        description="Run and operate a proxy fleet for upstreams that fail grayly.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    node.add_parser(subparsers)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    if options.command is None:
        parser.print_help(sys.stderr)
        return 2
    return options.run(options)


def run() -> None:
    """Run the command line of this process."""
    sys.exit(main())
