"""Check the command line against the store stand-in and nodes in memory."""

import datetime
import http.server
import io
import itertools
import json
import shlex
import tempfile
import threading
from pathlib import Path

from behave import given, then, when
from circuits import Manager
from circuits.core.pollers import EPoll
from expression import Error, Ok
from hypothesis import given as sample, settings, strategies as st

from flamingobank.cli import main
from flamingobank.cli.config import OperatorConfig
from flamingobank.cli.context import CommandContext
from flamingobank.cli.objects_api import ObjectsApi, ProblemKind, StoreProblem
from flamingobank.cli.output import print_findings
from flamingobank.cli.store_access import (
    judge_answer,
    open_store,
    read_page,
    read_stored,
)
from flamingobank.core import MonotonicClock
from flamingobank.objects import parse_manifest
from flamingobank.schema import SchemaError
from flamingobank_standins.store import Call, ObjectStore, StoreServer

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


class FakeObjects(ObjectsApi):
    """Call the stand-in without a socket; a hook decides on faults of a write."""

    def __init__(self, backend):
        self.backend = backend
        self.away = False
        self.hook = lambda kind: ""

    def get(self, kind, name):
        return self._call("GET", f"/v1/objects/{kind}/{name}").map(read_stored)

    def put(self, kind, name, spec, write_id, revision):
        headers = {"if-none-match": "*"}
        if revision is not None:
            headers = {"if-match": str(revision)}
        body = json.dumps({"spec": dict(spec), "write_id": write_id}).encode()
        path = f"/v1/objects/{kind}/{name}"
        return self._write("PUT", kind, path, headers, body)

    def delete(self, kind, name, write_id, revision):
        headers = {"if-match": str(revision)}
        return self._write("DELETE", kind, f"/v1/objects/{kind}/{name}", headers)

    def list(self, kind, after=""):
        query = {"kind": kind, "after": after, "limit": "3"}
        return self._call("GET", "/v1/objects", query=query).map(read_page)

    def _write(self, method, kind, path, headers, body=b""):
        fault = self.hook(kind)
        if fault == "away":
            return Error(StoreProblem(ProblemKind.AWAY, "status 503"))
        result = self._call(method, path, headers, body)
        if fault == "lose" and not self.away:
            return Error(StoreProblem(ProblemKind.UNKNOWN, "connection closed"))
        return result.map(lambda content: content["revision"])

    def _call(self, method, path, headers=None, body=b"", query=None):
        if self.away:
            return Error(StoreProblem(ProblemKind.AWAY, "status 503"))
        call = Call(method, path, query or {}, headers or {}, body)
        reply = self.backend.handle(call, now=0.0).reply
        return judge_answer(reply.status, reply.headers, reply.body)


class FakeNodes:
    """Show three members, of which two lag until a number of polls."""

    def __init__(self, polls):
        self._left = polls

    def read_any_status(self):
        self._left -= 1
        reached = 0 if self._left > 0 else 10**9
        names = ["node-1", "node-2", "node-3"]
        members = [{"node": name, "revision": reached} for name in names]
        return Ok({"node": "node-1", "revision": 10**9, "members": members})


class Desk:
    """Run commands of several operators against one store."""

    def __init__(self, directory, store=None):
        self.directory = directory
        # Rate limits are off: the fake's clock stands still.
        backend = ObjectStore()
        backend.faults.reads_per_s = backend.faults.writes_per_s = 1e9
        self.store = store or FakeObjects(backend)
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


@when('"{other}" runs "{command}" while "{operator}" is about to write')
def step_race(context, other, command, operator):
    desk = context.desk

    def write_first(kind):
        if kind == "route":
            desk.store.hook = lambda kind: ""
            assert desk.run(other, command) == 0, desk.err
        return ""

    desk.store.hook = write_first


@when('the answer to a write of "{kind}" is lost, then "{other}" runs "{command}"')
def step_lose_then(context, kind, other, command):
    desk = context.desk

    def run_other(seconds):
        desk.store.hook = lambda kind: ""
        desk.sleep = lambda seconds: None
        assert desk.run(other, command) == 0, desk.err

    desk.store.hook = lambda seen: "lose" if seen == kind else ""
    desk.sleep = run_other


@when("the store is away")
def step_away(context):
    context.desk.store.away = True


@when('the store is away for writes of "{kind}"')
def step_away_kind(context, kind):
    context.desk.store.hook = lambda seen: "away" if seen == kind else ""


@when('the store loses the answers of the next {count:d} writes of "{kind}"')
def step_lose(context, count, kind):
    left = iter(["lose"] * count)
    context.desk.store.hook = lambda seen: next(left, "") if seen == kind else ""


@then('the last output is a manifest equal to "{path}"')
def step_manifest(context, path):
    text = (context.desk.directory / Path(path).name).read_text()
    wanted = parse_manifest(text, "file").ok
    shown = parse_manifest(context.desk.out, "output").ok
    key = lambda item: (type(item).__name__, item.name)
    assert sorted(shown, key=key) == sorted(wanted, key=key), context.desk.out


def check_records(desk):
    """Check that each write of an object is recorded with its content."""
    history = {
        name.rpartition("/")[2]: item
        for name, item in desk.list_kind("history").items()
    }
    audit = desk.list_kind("audit")
    for kind in ("service", "route", "workspace"):
        for item in desk.list_kind(kind).values():
            assert history[item.write_id].spec["spec"] == item.spec, item
            assert audit[item.write_id].spec["name"] == item.name, item


@then("{runs:d} random runs of changes, lost answers and outages agree with the store")
def step_random(context, runs):
    commands = st.sampled_from(RANDOM_COMMANDS)
    steps = st.lists(
        st.tuples(
            st.sampled_from(["anna", "farid"]),
            commands,
            st.lists(st.sampled_from(["", "lose", "away"]), max_size=12),
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
    left = iter(faults)
    desk.store.hook = lambda kind: next(left, "")
    code = desk.run(operator, command)
    desk.store.hook = lambda kind: ""
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


@when("the store process is away")
def step_process_away(context):
    context.backend.faults.outage = "refuse"


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
