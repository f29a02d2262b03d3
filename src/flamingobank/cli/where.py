"""Print where a sidecar would send a request now, and why."""

import argparse
import http.client
import json
from urllib.parse import urlencode

from expression import Error, Ok, Result

from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import format_table, print_line

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 1_048_576
HOME_COLUMNS = (
    ("home", "node"),
    ("domain", "failure_domain"),
    ("distance", "distance"),
    ("load", "load"),
    ("limit", "limit"),
    ("backlog s", "backlog_s"),
    ("pace", "pace"),
    ("shedding", "shedding"),
    ("failing", "failing"),
    ("done s", "completion_s"),
    ("cost", "cost"),
)


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Print where a sidecar would send a request now, and why."
    parser = subparsers.add_parser("where", help=text, description=text)
    parser.add_argument("host", metavar="HOST")
    parser.add_argument("path", metavar="PATH")
    parser.add_argument(
        "--node",
        required=True,
        type=parse_node,
        metavar="ADDRESS",
        help="HOST:PORT of the sidecar's metrics",
    )
    parser.add_argument("--method", metavar="METHOD")
    parser.add_argument("--workspace", metavar="NAME", help="its name, not its key")
    parser.add_argument(
        "--deadline", type=float, metavar="MS", help="time that the caller has left"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def parse_node(text: str) -> tuple[str, int]:
    """Return the host and port of an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise argparse.ArgumentTypeError(f"{text!r} is no HOST:PORT")
    return host, int(port)


def run(options: argparse.Namespace) -> ExitCode:
    """Print the explanation that one process gives."""
    context = options.context
    parameters = {
        "host": options.host,
        "path": options.path,
        "method": options.method,
        "workspace": options.workspace,
        "deadline_ms": options.deadline,
    }
    given = {name: value for name, value in parameters.items() if value is not None}
    called = call_node(options.node, f"/explain?{urlencode(given)}")
    if called.is_error():
        print_line(called.error, context.err)
        return ExitCode.FAILED
    status, content = called.ok
    if status == 400:
        print_line(str(content.get("error", "bad request")), context.err)
        return ExitCode.BAD_INPUT
    if status != 200 or "outcome" not in content:
        print_line(f"node answered {status} without an explanation", context.err)
        return ExitCode.FAILED
    text = json.dumps(content, indent=2) if options.json else format_text(content)
    print_line(text, context.out)
    return ExitCode.DONE


def call_node(address: tuple[str, int], target: str) -> Result[tuple[int, dict], str]:
    """Return the status and JSON object of an answer, or why there is none."""
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", target)
        response = connection.getresponse()
        content = json.loads(response.read(MAX_RESPONSE_BYTES))
    except (OSError, http.client.HTTPException) as error:
        return Error(f"node {address[0]}:{address[1]} did not answer: {error}")
    except ValueError:
        return Ok((response.status, {}))
    finally:
        connection.close()
    return Ok((response.status, content if isinstance(content, dict) else {}))


def format_text(explanation: dict) -> str:
    """Return an explanation as lines and one table for each target."""
    lines = []
    for name, value in explanation.items():
        if name != "targets":
            lines.append(f"{name}: {_show(value)}")
    for target in explanation.get("targets", ()):
        lines.append("")
        facts = {name: value for name, value in target.items() if name != "homes"}
        lines.append(_show(facts))
        lines.append(_format_homes(target["homes"]))
    return "\n".join(lines)


def _format_homes(homes: list[dict]) -> str:
    rows = []
    for home in homes:
        mark = "*" if home["chosen"] else ""
        if home["silent"]:
            mark += "silent"
        rows.append([mark, *(_show(home.get(key)) for _, key in HOME_COLUMNS)])
    return format_table(["", *(title for title, _ in HOME_COLUMNS)], rows)


def _show(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, dict):
        return "  ".join(f"{name}={_show(item)}" for name, item in value.items())
    return str(value)
