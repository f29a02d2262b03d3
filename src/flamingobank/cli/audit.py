"""Show the audit trail."""

import argparse
import datetime
import json
import re

from flamingobank.audit import AuditEntry, AuditFilter, read_audit
from flamingobank.cli.context import open_session
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import format_table, print_line
from flamingobank.cli.records import format_time
from flamingobank.cli.reports import (
    report_error,
    report_input_errors,
    report_store_error,
)

# A week has about 28,700 changes, which the store lists on 58 pages.
DEFAULT_AGE = "7d"
_AGE = re.compile(r"(?P<count>[0-9]{1,6})(?P<unit>[smhd])")
_UNIT_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_COLUMNS = ("when", "who", "what", "result", "from", "to", "evidence")


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Show who changed what and when."
    parser = subparsers.add_parser("audit", help=text, description=text)
    parser.add_argument(
        "--who", default="", help="part of the name of the operator or node"
    )
    parser.add_argument("--kind")
    parser.add_argument("--name")
    parser.add_argument(
        "--since",
        metavar="TIME",
        default=DEFAULT_AGE,
        help="2026-12-04T05:00:00Z, or an age such as 2h; default: %(default)s",
    )
    parser.add_argument("-o", "--output", choices=["table", "json"], default="table")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print the entries that match all filters, oldest first."""
    context = options.context
    since = parse_since(options.since, context.read_utc())
    if since is None:
        report_error(
            context,
            f"--since: got {options.since!r}, expected a time such as "
            "2026-12-04T05:00:00Z, or an age such as 30s, 5m, 2h or 7d",
        )
        return ExitCode.BAD_INPUT
    session = open_session(options)
    if session.is_error():
        return report_input_errors(context, session.error)
    since_ms = int(since.timestamp() * 1000)
    selection = AuditFilter(since_ms=since_ms, who=options.who)
    entries = read_audit(session.ok.store, selection)
    if entries.is_error():
        return report_store_error(context, entries.error)
    selected = [entry for entry in entries.ok if _matches(entry, options)]
    if options.output == "json":
        json_entries = [entry.to_json() for entry in selected]
        print_line(json.dumps(json_entries, indent=2), context.out)
        return ExitCode.DONE
    print_line(
        format_table(_COLUMNS, [_make_row(entry) for entry in selected]), context.out
    )
    return ExitCode.DONE


def parse_since(text: str, now: datetime.datetime) -> datetime.datetime | None:
    """Parse an age or an ISO time; return it in UTC, or None if it is neither."""
    age = _AGE.fullmatch(text)
    if age:
        seconds = int(age["count"]) * _UNIT_S[age["unit"]]
        return now - datetime.timedelta(seconds=seconds)
    try:
        parsed_time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    if parsed_time.tzinfo is None:
        parsed_time = parsed_time.replace(tzinfo=datetime.UTC)
    return parsed_time.astimezone(datetime.UTC)


def _matches(entry: AuditEntry, options: argparse.Namespace) -> bool:
    words = entry.what.split()
    wanted = (options.kind, options.name)
    return all(word in words for word in wanted if word)


def _make_row(entry: AuditEntry) -> list[str]:
    when = datetime.datetime.fromtimestamp(entry.when_ms / 1000, datetime.UTC)
    return [
        format_time(when),
        entry.who,
        entry.what,
        entry.result,
        entry.from_value,
        entry.to_value,
        entry.evidence,
    ]
