"""Run a node from a settings file."""

import argparse
import gc
import sys
from pathlib import Path

import eliot

from flamingobank.objects import AnyObject, parse_manifest
from flamingobank.settings import load_secrets, load_settings, load_token

EXIT_BAD_INPUT = 2


def add_parser(subparsers) -> None:
    """Add the parser of the node subcommand."""
    parser = subparsers.add_parser(
        "node", help="run a node", description="Run a node until it is told to stop."
    )
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--manifest",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="serve these objects without a store; may be given several times",
    )
    parser.add_argument("--log", type=Path, metavar="FILE", help="append JSON logs")
    parser.set_defaults(run=run_node)


def run_node(options: argparse.Namespace) -> int:
    """Run the node and return its exit code."""
    loaded = load_settings(options.settings)
    if loaded.is_error():
        return _report(loaded.error)
    settings = loaded.ok
    if settings.fleet_secret_file is None:
        return _report([f"{options.settings}: [secrets] fleet_file: expected a file"])
    secrets = load_secrets(settings.fleet_secret_file)
    if secrets.is_error():
        return _report([secrets.error])
    items: list[AnyObject] = []
    for path in options.manifest:
        parsed = parse_manifest(path.read_text(), str(path))
        if parsed.is_error():
            return _report(parsed.error)
        items.extend(parsed.ok)
    destination = options.log.open("a") if options.log is not None else sys.stderr
    eliot.to_file(destination)
    token = ""
    if settings.store_token_file is not None:
        loaded_token = load_token(settings.store_token_file)
        if loaded_token.is_error():
            return _report([loaded_token.error])
        token = loaded_token.ok
    # Imported here because other commands start in half the time without it.
    from flamingobank.node import Node, hold_stop_signals

    hold_stop_signals()
    node = Node(settings, secrets.ok, items, token)
    eliot.log_message(message_type="node:started", node=settings.node_id)
    # Objects made at start-up live as long as the process; scanning them in each
    # full garbage collection would add milliseconds to some requests.
    gc.collect()
    gc.freeze()
    node.run()
    return 0


def _report(errors: list) -> int:
    for error in errors:
        print(f"flamingobank node: {error}", file=sys.stderr)
    return EXIT_BAD_INPUT
