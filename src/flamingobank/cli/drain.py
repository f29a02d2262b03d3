"""Drain a server, or end its drain."""

import argparse

from flamingobank.cli.config import load_config
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_line
from flamingobank.cli.reports import report_error, report_input_errors


def add_parser(subparsers) -> None:
    """Add the parsers of the drain and undrain subcommands."""
    texts = {
        "drain": "Send a server no new work; work in flight is finished.",
        "undrain": "Send a drained server new work again.",
    }
    for name, text in texts.items():
        parser = subparsers.add_parser(name, help=text, description=text)
        parser.add_argument("instance")
        parser.set_defaults(run=run, draining=name == "drain")


def run(options: argparse.Namespace) -> ExitCode:
    """Ask the configured nodes in turn until one confirms the change."""
    context = options.context
    config = load_config(options.config, context.environ)
    if config.is_error():
        return report_input_errors(context, config.error)
    nodes = context.open_nodes(config.ok)
    problems = []
    for address in nodes.addresses:
        answer = nodes.set_draining(address, options.instance, options.draining)
        if answer.is_error():
            problems.append(answer.error)
            continue
        status, body = answer.ok
        if status == 200:
            verb = "draining" if options.draining else "in service"
            home = body.get("home", "an unnamed node")
            print_line(f"{options.instance} is {verb} (home {home})", context.out)
            return ExitCode.DONE
        detail = body.get("error", f"status {status}")
        problems.append(f"node {address[0]}:{address[1]} refused: {detail}")
    for problem in problems or ["no node addresses in the settings"]:
        report_error(context, problem)
    report_error(context, f"{options.instance}: no node confirmed the change")
    return ExitCode.FAILED
