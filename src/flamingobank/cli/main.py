"""Parse arguments and call the subcommand they name."""

import argparse
import sys

from flamingobank import __version__
from flamingobank.cli import (
    apply,
    audit,
    check,
    delete,
    drain,
    explain,
    get,
    history,
    node,
    status,
    where,
    why,
)
from flamingobank.cli.config import CONFIG_VARIABLE
from flamingobank.cli.context import CommandContext

# Each module has add_parser(subparsers), which sets the default "run" of its
# parsers to a function that takes the parsed options and returns an exit code.
COMMAND_MODULES = (
    check,
    explain,
    apply,
    get,
    delete,
    history,
    audit,
    status,
    drain,
    node,
    where,
    why,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="flamingobank",
        description="Run and operate a proxy fleet for upstreams with gray failures.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--config",
        metavar="FILE",
        help=f"settings of the command line; default: ${CONFIG_VARIABLE}",
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    for module in COMMAND_MODULES:
        module.add_parser(subparsers)
    return parser


def main(
    arguments: list[str] | None = None, context: CommandContext | None = None
) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    if options.command is None:
        parser.print_help(sys.stderr)
        return 2
    options.context = context or CommandContext()
    return int(options.run(options))


def run() -> None:
    """Run the command that this process was started with, and exit."""
    try:
        code = main()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited. Closing standard error
        # keeps the interpreter from reporting the same error at exit.
        sys.stderr.close()
        code = 1
    except KeyboardInterrupt:
        code = 130
    sys.exit(code)
