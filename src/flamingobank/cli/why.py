"""Print what the logs of several processes say about one request."""

import argparse
import json
import sys
from collections.abc import Iterable
from pathlib import Path

from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_line

# These fields have columns of their own, or are the same on each line.
HIDDEN_FIELDS = ("timestamp", "node", "message_type", "request")


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Print what the logs of sidecars say about one request."
    parser = subparsers.add_parser("why", help=text, description=text)
    parser.add_argument("request", metavar="REQUEST_ID")
    parser.add_argument(
        "files",
        nargs="*",
        type=Path,
        metavar="FILE",
        help="logs of any number of processes; standard input when none is given",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print one line per log entry about the request, in order of time."""
    context = options.context
    entries: list[dict] = []
    if not options.files:
        entries += find_entries(sys.stdin, options.request)
    for path in options.files:
        try:
            with path.open(errors="replace") as lines:
                entries += find_entries(lines, options.request)
        except OSError as error:
            print_line(f"{path}: {error.strerror}", context.err)
            return ExitCode.BAD_INPUT
    if not entries:
        print_line(f"no log entry is about request {options.request}", context.err)
        return ExitCode.BAD_INPUT
    for line in describe_entries(entries):
        print_line(line, context.out)
    return ExitCode.DONE


def find_entries(lines: Iterable[str], request: str) -> list[dict]:
    """Return the log entries about a request; other lines are ignored."""
    entries = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request not in line:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            # The line was truncated when its process ended.
            continue
        if isinstance(entry, dict) and entry.get("request") == request:
            entries.append(entry)
    return entries


def describe_entries(entries: list[dict]) -> list[str]:
    """Return one line per entry, with seconds since the first."""
    ordered = sorted(entries, key=lambda entry: entry.get("timestamp", 0.0))
    start_time = ordered[0].get("timestamp", 0.0)
    lines_by_time = []
    for entry in ordered:
        fields = " ".join(
            f"{name}={value}"
            for name, value in entry.items()
            if name not in HIDDEN_FIELDS
        )
        lines_by_time.append(
            f"+{entry.get('timestamp', 0.0) - start_time:.3f} {entry.get('node', '?')} "
            f"{entry.get('message_type', '?')} {fields}".rstrip()
        )
    return lines_by_time
