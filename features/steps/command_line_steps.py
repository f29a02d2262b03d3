"""Check the command line against the store stand-in and nodes in memory."""

import datetime
import http.server
import io
import itertools
import json
import random
import shlex
import tempfile
import threading
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

from behave import given, then, when
from circuits import Manager
from circuits.core.pollers import EPoll
from expression import Ok
from hypothesis import given as sample, settings, strategies as st

from flamingobank.cli import main
from flamingobank.cli.config import OperatorConfig
from flamingobank.cli.context import CommandContext
from flamingobank.cli.main import build_parser
from flamingobank.cli.output import print_findings
from flamingobank.cli.store_access import open_store
from flamingobank.core import MonotonicClock, VirtualClock
from flamingobank.objects import parse_manifest
from flamingobank.schema import SchemaError
from flamingobank.store import BlockingStore, CallFailed, StoreAnswer
from flamingobank_standins.store import Call, ObjectStore, StoreServer
from tools.make_reference import find_stale_pages

ROOT = Path(__file__).resolve().parent.parent.parent
START = datetime.datetime(2026, 12, 4, 5, 0, tzinfo=datetime.UTC)
ROUTE = "[route order-status]\ntarget = service=orders\npath = /orders/status\n"
MANIFESTS = {
    "fleet.ini": f"""[service orders]
selector = app=orders

{ROUTE}deadline_ms = 2000

[route stock-check]
target = service=orders
path = /stock
class = internal

[workspace clinic-7]
label.tier = partner

[workspace stockroom]
label.team = stock
""",
    "slower.ini": f"{ROUTE}deadline_ms = 9000\n",
    "faster.ini": f"{ROUTE}deadline_ms = 1000\n",
    "no-service.ini": "[route lost]\ntarget = service=nobody\npath = /lost\n",
}
RANDOM_COMMANDS = [
    "apply DIR/fleet.ini",
    "apply DIR/slower.ini",
    "apply DIR/faster.ini",
    "apply --prune DIR/fleet.ini",
    "delete route order-status",
    "rollback route order-status",
]


class DirectStore(BlockingStore):
    """Call the stand-in without a socket; a hook decides on faults of each call."""

    def __init__(self, backend, sleep):
        self.backend = backend
        self.clock = VirtualClock()
        self.hook = lambda method, kind: ""

        def advance(seconds):
            self.clock.advance(seconds)
            sleep(seconds)

        rng = random.Random(1)
        super().__init__(("127.0.0.1", 1), "", "test", rng, self.clock, advance)

    def _exchange(self, call):
        target = urlsplit(call.target)
        fault = self.hook(call.method, (target.path + "//").split("/")[3])
        if fault == "away":
            return CallFailed("connection refused", sent=False)
        if fault == "vanish":
            return CallFailed("no answer", sent=True)
        headers = {name.lower(): value for name, value in call.headers}
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        request = Call(call.method, unquote(target.path), query, headers, call.body)
        reply = self.backend.handle(request, now=0.0).reply
        if fault == "lose":
            return CallFailed("no answer", sent=True)
        body = json.dumps(reply.body).encode()
        return StoreAnswer(reply.status, reply.headers, body)


class FakeNodes:
    """Show three members, of which two lag until a number of polls."""

    def __init__(self, polls, revision=10**9):
        self._left = polls
        self._revision = revision

    def read_any_status(self):
        self._left -= 1
        reached = 0 if self._left > 0 else self._revision
        names = ["node-1", "node-2", "node-3"]
        members = [{"node": name, "revision": reached} for name in names]
        return Ok({"node": "node-1", "revision": self._revision, "members": members})


class Desk:
    """Run commands of several operators against one store."""

    def __init__(self, directory, store=None):
        self.directory = directory
        # Rate limits are off: the fake's clock stands still.
        backend = ObjectStore()
        backend.faults.reads_per_s = backend.faults.writes_per_s = 1e9
        self.store = store or DirectStore(backend, lambda seconds: self.sleep(seconds))
        self.nodes = None
        self.out = self.err = ""
        self.ticks = itertools.count()
        self.clock = 0.0
        for name, text in MANIFESTS.items():
            (directory / name).write_text(text)

    def sleep(self, seconds):
        self.clock += seconds

    def run(self, operator, command):
        """Return the exit code; the output is kept."""
        config = self.directory / f"{operator}.ini"
        config.write_text(
            f"[operator]\nname = {operator}\n"
            "[store]\naddress = 127.0.0.1:1\ntoken_file = token\n"
        )
        out, err = io.StringIO(), io.StringIO()
        context = CommandContext(
            out=out,
            err=err,
            environ={},
            open_store=lambda config: Ok(self.store),
            open_nodes=lambda config: self.nodes,
            read_utc=lambda: START + datetime.timedelta(seconds=next(self.ticks)),
            make_suffix=lambda: f"{next(self.ticks):06d}",
            sleep=self.sleep,
            now=lambda: self.clock,
        )
        words = shlex.split(command.replace("DIR", str(self.directory)))
        code = main(["--config", str(config), *words], context)
        self.out, self.err = out.getvalue(), err.getvalue()
        return code

    def list_kind(self, kind):
        return {
            item.name: item
            for item in self.store.backend.table.list_after(kind, "", 10**6)
        }


def open_desk(context, store=None):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.desk = Desk(Path(directory.name), store)


@given('an empty store and the operators "anna" and "farid"')
def step_desk(context):
    open_desk(context)


@when('"{operator}" runs "{command}" with exit code {code:d}')
def step_run(context, operator, command, code):
    if not hasattr(context, "desk"):
        open_desk(context)
    seen = context.desk.run(operator, command)
    assert seen == code, (seen, context.desk.out, context.desk.err)


@then('"{operator}" running "{command}" exits with {code:d} and prints ""')
def step_run_silent(context, operator, command, code):
    step_run(context, operator, command, code)
    assert context.desk.out == "", context.desk.out


@then('the last output has "{text}"')
def step_output(context, text):
    assert text in context.desk.out, (context.desk.out, context.desk.err)


@then('the last output lacks "{text}"')
def step_output_lacks(context, text):
    assert text not in context.desk.out, context.desk.out


@then('the last error has "{text}"')
def step_error(context, text):
    assert text in context.desk.err, (context.desk.out, context.desk.err)


@then('the last text has "{text}"')
def step_text(context, text):
    assert text in context.desk.out + context.desk.err, context.desk.err


@then("the store is at revision {revision:d}")
def step_revision(context, revision):
    assert context.desk.store.backend.table.revision == revision


@then('the store holds "{titles}"')
def step_holds(context, titles):
    kinds = ("service", "route", "workspace")
    seen = [f"{kind} {name}" for kind in kinds for name in context.desk.list_kind(kind)]
    assert seen == titles.split(", "), seen


@then('the stored "{kind}" "{name}" has "{key}" "{value}"')
def step_stored(context, kind, name, key, value):
    item = context.desk.list_kind(kind)[name]
    assert item.spec[key] == value, item


@then("every object of the store has a history and an audit entry")
def step_records(context):
    check_records(context.desk)


@then('the history of "{kind}" "{name}" has {count:d} confirmed entries')
def step_history(context, kind, name, count):
    assert context.desk.run("anna", f"history {kind} {name}") == 0, context.desk.err
    rows = context.desk.out.splitlines()[1:]
    confirmed = [row for row in rows if row[0].isdigit()]
    assert len(rows) == len(confirmed) == count, context.desk.out


@then('the last history of "{kind}" "{name}" has "{text}"')
def step_last_history(context, kind, name, text):
    assert context.desk.run("anna", f"history {kind} {name}") == 0, context.desk.err
    assert text in context.desk.out.splitlines()[-1], context.desk.out


@when('"{other}" runs "{command}" while "{operator}" is about to write a "{target}"')
def step_race(context, other, command, operator, target):
    desk = context.desk

    def write_first(method, kind):
        if kind == target and method != "GET":
            desk.store.hook = lambda method, kind: ""
            assert desk.run(other, command) == 0, desk.err
        return ""

    desk.store.hook = write_first


@when('the answer to a write of "{kind}" is lost, then "{other}" runs "{command}"')
def step_lose_then(context, kind, other, command):
    desk = context.desk

    def run_other(seconds):
        desk.store.hook = lambda method, kind: ""
        desk.sleep = lambda seconds: None
        assert desk.run(other, command) == 0, desk.err

    set_write_fault(desk, kind, iter(["lose"]))
    desk.sleep = run_other


def set_write_fault(desk, kind, faults):
    """Give the writes of a kind one fault each while there are any."""

    def choose(method, seen):
        return next(faults, "") if seen == kind and method != "GET" else ""

    desk.store.hook = choose


@when("the store is away")
def step_away(context):
    context.desk.store.hook = lambda method, kind: "away"


@when('the store is away for writes of "{kind}"')
def step_away_kind(context, kind):
    set_write_fault(context.desk, kind, itertools.repeat("away"))


@when('the store loses the answers of the next {count:d} writes of "{kind}"')
def step_lose(context, count, kind):
    set_write_fault(context.desk, kind, iter(["lose"] * count))


@when('the store loses the answer to a write of "{kind}" and is away after it')
def step_lose_and_leave(context, kind):
    lost = []

    def choose(method, seen):
        if lost:
            return "away"
        if seen == kind and method != "GET":
            lost.append(True)
            return "lose"
        return ""

    context.desk.store.hook = choose


@then('the last output is a manifest equal to "{path}"')
def step_manifest(context, path):
    text = (context.desk.directory / Path(path).name).read_text()
    wanted = parse_manifest(text, "file").ok
    shown = parse_manifest(context.desk.out, "output").ok
    key = lambda item: (type(item).__name__, item.name)
    assert sorted(shown, key=key) == sorted(wanted, key=key), context.desk.out


def check_records(desk):
    """Check that each write of an object is recorded with its content."""
    entries = [
        entry
        for item in desk.list_kind("history").values()
        for entry in item.spec["entries"]
    ]
    history = {entry["write_id"]: entry for entry in entries}
    audit = desk.list_kind("audit")
    for kind in ("service", "route", "workspace"):
        for item in desk.list_kind(kind).values():
            assert history[item.write_id]["spec"] == item.spec, item
            assert audit[item.write_id].spec["name"] == item.name, item


@then("{runs:d} random runs of changes, lost answers and outages agree with the store")
def step_random(context, runs):
    commands = st.sampled_from(RANDOM_COMMANDS)
    steps = st.lists(
        st.tuples(
            st.sampled_from(["anna", "farid"]),
            commands,
            st.lists(
                st.sampled_from(["", "", "lose", "vanish", "away", "gone"]), max_size=30
            ),
        ),
        min_size=1,
        max_size=6,
    )

    @settings(max_examples=runs, derandomize=True, database=None, deadline=None)
    @sample(steps)
    def check(steps):
        with tempfile.TemporaryDirectory() as directory:
            desk = Desk(Path(directory))
            for operator, command, faults in steps:
                check_command(desk, operator, command, faults)

    check()


def check_command(desk, operator, command, faults):
    """Run a command under faults and compare what it said with the store."""
    read = lambda: [
        (kind, item.name, item.spec)
        for kind in ("service", "route", "workspace")
        for item in desk.list_kind(kind).values()
    ]
    before = read()
    left = list(faults)

    def choose(method, kind):
        if not left:
            return ""
        # "gone" stays, so that the command runs out of attempts.
        return "away" if left[0] == "gone" else left.pop(0)

    desk.store.hook = choose
    code = desk.run(operator, command)
    desk.store.hook = lambda method, kind: ""
    state = (command, faults, code, desk.out, desk.err)
    check_records(desk)
    if code == 0 and command.startswith("apply"):
        assert desk.run(operator, command.replace("apply", "diff")) == 0, state
    if code in (2, 3, 4):
        assert read() == before, state
    if code == 4:
        assert "nothing was changed" in desk.err, state


@given("nodes that apply a revision after {polls:d} polls")
def step_nodes(context, polls):
    context.desk.nodes = FakeNodes(polls)


@given("nodes that stay at the revision of the last change")
def step_nodes_stay(context):
    kinds = ("service", "route", "workspace")
    items = [item for kind in kinds for item in context.desk.list_kind(kind).values()]
    context.desk.nodes = FakeNodes(0, max(item.revision for item in items))


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
    open_desk(context)


@when('the operator of that node runs "{command}" with exit code {code:d}')
def step_node_command(context, command, code):
    config = context.desk.directory / "node-operator.ini"
    config.write_text(
        "[operator]\nname = anna\n[store]\naddress = 127.0.0.1:1\ntoken_file = t\n"
        f"[nodes]\naddresses = 127.0.0.1:{context.node_port}\n"
    )
    out, err = io.StringIO(), io.StringIO()
    seen = main(
        ["--config", str(config), *command.split()], CommandContext(out, err, {})
    )
    context.desk.out, context.desk.err = out.getvalue(), err.getvalue()
    assert seen == code, (seen, context.desk.out, context.desk.err)


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
    open_desk(context)
    token = context.desk.directory / "token"
    token.write_text("token-of-the-store\n")
    token.chmod(0o600)
    config = OperatorConfig("anna", server.address, token, 5000, ())
    context.desk.store = open_store(config).ok


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
