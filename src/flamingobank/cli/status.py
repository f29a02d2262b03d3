"""Show the state of the fleet as one node sees it."""

import argparse
import json

from flamingobank.cli.config import load_config
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import colorize, format_table, print_line, use_color
from flamingobank.cli.reports import report_error, report_input_errors


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Show members, revisions and services as one node sees them."
    parser = subparsers.add_parser("status", help=text, description=text)
    parser.add_argument("-o", "--output", choices=["table", "json"], default="table")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print the status of the first node that answers."""
    context = options.context
    config = load_config(options.config, context.environ)
    if config.is_error():
        return report_input_errors(context, config.error)
    status = context.open_nodes(config.ok).read_any_status()
    if status.is_error():
        for problem in status.error:
            report_error(context, problem)
        return ExitCode.FAILED
    if options.output == "json":
        print_line(json.dumps(status.ok, indent=2), context.out)
        return ExitCode.DONE
    color = use_color(context.out, context.environ)
    print_line(format_status(status.ok, color), context.out)
    return ExitCode.DONE


def format_status(status: dict, color: bool = False) -> str:
    """Return the status as a summary and tables."""
    parts = [_format_summary(status, color)]
    members = status.get("members", [])
    if members:
        header = ["node", "failure_domain", "state", "revision"]
        parts.append(_format_rows(header, members))
    services = status.get("services", [])
    if services:
        header = ["service", "floor", "announced", "healthy", "draining", "ejected"]
        rows = [dict(item, ejected=_format_ejected(item)) for item in services]
        parts.append(_format_rows(header, rows))
    servers = status.get("servers", [])
    if servers:
        header = ["instance", "stage", "slots", "in_use", "draining"]
        parts.append(_format_rows(header, servers))
    return "\n\n".join(parts)


def _format_summary(status: dict, color: bool) -> str:
    in_force = status.get("in_force", {})
    count, total = in_force.get("count", "?"), in_force.get("of", "?")
    store = status.get("store", {})
    reachable = "reachable" if store.get("reachable") else "away"
    color_name = "green" if store.get("reachable") else "yellow"
    age = store.get("last_contact_s")
    contact = "never" if age is None else f"{age:.1f} s ago"
    return "\n".join(
        [
            f"node {status.get('node')} at revision {status.get('revision')}",
            f"in force on {count} of {total} nodes",
            f"store {colorize(reachable, color_name, color)}, last contact {contact}",
        ]
    )


def _format_rows(header: list[str], items: list[dict]) -> str:
    rows = [[str(item.get(key, "")) for key in header] for item in items]
    return format_table(header, rows)


def _format_ejected(item: dict) -> str:
    ejected = item.get("ejected", [])
    ejections = (f"{entry.get('instance')} ({entry.get('why')})" for entry in ejected)
    return ", ".join(ejections) or "-"
