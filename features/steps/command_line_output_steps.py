"""Check commands that use files, nodes or a store over HTTP, and their output."""

import http.server
import io
import json
import re
import threading
from pathlib import Path

from behave import given, then, when
from circuits import Manager
from circuits.core.pollers import EPoll

from features.support.command_harness import FakeNodes, open_harness
from flamingobank.cli import main
from flamingobank.cli.config import OperatorConfig
from flamingobank.cli.context import CommandContext
from flamingobank.cli.main import build_parser
from flamingobank.cli.output import print_findings
from flamingobank.cli.store_access import open_store
from flamingobank.core import MonotonicClock
from flamingobank.schema import SchemaError
from flamingobank_standins.store import ObjectStore, StoreServer
from tools.make_reference import find_stale_pages

ROOT = Path(__file__).resolve().parent.parent.parent


@given("nodes that apply a revision after {polls:d} polls")
def step_nodes(context, polls):
    context.harness.nodes = FakeNodes(polls)


@given("nodes that stay at the revision of the last change")
def step_nodes_stay(context):
    kinds = ("service", "route", "workspace")
    items = [
        item for kind in kinds for item in context.harness.list_kind(kind).values()
    ]
    context.harness.nodes = FakeNodes(0, max(item.revision for item in items))


@given('a node\'s operator address that knows the instance "{instance}"')
def step_node(context, instance):
    status = {
        "node": "node-1",
        "revision": 7,
        "members": [],
        "in_force": {"count": 2, "of": 3},
        "services": [
            {
                "service": "orders",
                "floor": 8,
                "announced": 11,
                "healthy": 10,
                "draining": 0,
                "ejected": [{"instance": "orders-2", "why": "failures"}],
            }
        ],
        "store": {"reachable": False, "last_contact_s": 12.0},
    }

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.answer(200, status)

        def do_POST(self):
            size = int(self.headers["Content-Length"])
            known = json.loads(self.rfile.read(size))["instance"] == instance
            self.answer(200 if known else 404, {"home": "node-1"} if known else {})

        def answer(self, code, body):
            self.send_response(code)
            self.end_headers()
            self.wfile.write(json.dumps(body).encode())

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.node_port = server.server_port
    open_harness(context)


@when('the operator of that node runs "{command}" with exit code {code:d}')
def step_node_command(context, command, code):
    config = context.harness.directory / "node-operator.ini"
    config.write_text(
        "[operator]\nname = anna\n[store]\naddress = 127.0.0.1:1\ntoken_file = t\n"
        f"[nodes]\naddresses = 127.0.0.1:{context.node_port}\n"
    )
    out, err = io.StringIO(), io.StringIO()
    seen = main(
        ["--config", str(config), *command.split()], CommandContext(out, err, {})
    )
    context.harness.out, context.harness.err = out.getvalue(), err.getvalue()
    assert seen == code, (seen, context.harness.out, context.harness.err)


@given('a store process that the operator "anna" uses')
def step_store_process(context):
    manager = Manager()
    EPoll().register(manager)
    context.backend = ObjectStore("token-of-the-store")
    server = StoreServer(("127.0.0.1", 0), context.backend, MonotonicClock())
    server.register(manager)
    manager.start()
    context.add_cleanup(manager.stop)
    while server.address[1] in (0, None):
        pass
    open_harness(context)
    token = context.harness.directory / "token"
    token.write_text("token-of-the-store\n")
    token.chmod(0o600)
    config = OperatorConfig("anna", server.address, token, 5000, ())
    context.harness.store = open_store(config).ok


@when("the store process loses the answers of the next {count:d} writes")
def step_process_lose(context, count):
    context.backend.faults.lose_next = count


@then('checking "{first}" and "{second}" exits with 0')
def step_check_examples(context, first, second):
    code, _, err = run_check(ROOT / first, ROOT / second)
    assert code == 0 and err == "", (code, err)


@then('each file in "{directory}" gives one error line and exit code 2')
def step_check_bad(context, directory):
    files = sorted((ROOT / directory).glob("*.ini"))
    assert files, "no bad examples were found"
    for file in files:
        code, out, err = run_check(file)
        assert code == 2 and out == "", (file, code, out)
        assert len(err.splitlines()) == 1, (file, err)
        assert file.name in err, (file, err)


def run_check(*paths):
    out, err = io.StringIO(), io.StringIO()
    code = main(["check", *map(str, paths)], CommandContext(out, err, {}))
    return code, out.getvalue(), err.getvalue()


def print_error(is_terminal, environ):
    stream = io.StringIO()
    stream.isatty = lambda: is_terminal
    print_findings([SchemaError("f", "s", "k", "a", "b")], stream, environ)
    return stream.getvalue()


@then("an error on a terminal is colored")
def step_colored(context):
    assert "\x1b[31m" in print_error(True, {})


@then("an error on a pipe or with NO_COLOR is not")
def step_plain(context):
    assert "\x1b" not in print_error(False, {})
    assert "\x1b" not in print_error(True, {"NO_COLOR": "1"})


@then("the pages about objects and settings are current")
def step_pages(context):
    assert find_stale_pages() == [], "run python -m tools.make_reference"


@then("the page about the command line names every command")
def step_commands(context):
    page = (ROOT / "docs/reference/command-line.md").read_text()
    parser = build_parser()
    actions = [item for item in parser._actions if item.dest == "command"]
    missing = [name for name in actions[0].choices if f"`{name}" not in page]
    assert actions[0].choices and not missing, missing


@then("every relative link of the documentation names a file")
def step_links(context):
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    links = [
        (page, target)
        for page in pages
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    ]
    assert len(links) > 10, "the pattern found no links"
    broken = [
        (str(page), target)
        for page, target in links
        if not (page.parent / target).exists()
    ]
    assert not broken, broken
