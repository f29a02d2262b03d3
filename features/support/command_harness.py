"""Run the command line against the stand-in for the store, without sockets."""

import datetime
import io
import itertools
import json
import random
import shlex
import tempfile
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

from expression import Ok

from flamingobank.cli import main
from flamingobank.cli.context import CommandContext
from flamingobank.core import VirtualClock
from flamingobank.store import BlockingStore, CallFailed, StoreAnswer
from flamingobank_standins.store import ObjectStore, ReceivedCall

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


class DirectStore(BlockingStore):
    """Call the stand-in without a socket; a hook returns the fault of each call.

    "away" refuses the call, "lose-request" drops it unprocessed, "lose-answer"
    drops its answer, and "" is no fault.
    """

    def __init__(self, backend, sleep):
        self.backend = backend
        self.clock = VirtualClock()
        self.fault_hook = lambda method, kind: ""

        def advance(seconds):
            self.clock.advance(seconds)
            sleep(seconds)

        rng = random.Random(1)
        super().__init__(("127.0.0.1", 1), "", "test", rng, self.clock, advance)

    def _exchange(self, call):
        target = urlsplit(call.target)
        fault = self.fault_hook(call.method, (target.path + "//").split("/")[3])
        if fault == "away":
            return CallFailed("connection refused", sent=False)
        if fault == "lose-request":
            return CallFailed("no answer", sent=True)
        headers = {name.lower(): value for name, value in call.headers}
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        request = ReceivedCall(
            call.method, unquote(target.path), query, headers, call.body
        )
        reply = self.backend.handle(request, now=0.0).reply
        if fault == "lose-answer":
            return CallFailed("no answer", sent=True)
        body = json.dumps(reply.body).encode()
        return StoreAnswer(reply.status, reply.headers, body)


class FakeNodes:
    """Report the status of three nodes.

    node-1 answers and reports the given revision as its own. Its list of members shows
    revision 0 for all three until the given poll, and then the given revision.
    """

    def __init__(self, polls, revision=10**9):
        self._polls_left = polls
        self._revision = revision

    def read_any_status(self):
        self._polls_left -= 1
        revision_seen = 0 if self._polls_left > 0 else self._revision
        names = ["node-1", "node-2", "node-3"]
        members = [
            {"node": name, "revision": revision_seen, "state": "alive"}
            for name in names
        ]
        return Ok({"node": "node-1", "revision": self._revision, "members": members})


class CommandHarness:
    """Run commands of several operators against one store."""

    def __init__(self, directory, store=None):
        self.directory = directory
        # Rate limits are off, because the clock of the stand-in does not advance.
        backend = ObjectStore()
        backend.faults.reads_per_s = backend.faults.writes_per_s = 1e9
        self.store = store or DirectStore(backend, lambda seconds: self.sleep(seconds))
        self.nodes = None
        self.out = self.err = ""
        self.outputs_by_operator = {}
        self.ticks = itertools.count()
        self.clock = 0.0
        for name, text in MANIFESTS.items():
            (directory / name).write_text(text)

    def sleep(self, seconds):
        self.clock += seconds

    def run(self, operator, command):
        """Run a command as an operator, keep its output and return its exit code."""
        config = self.directory / f"{operator}.ini"
        config.write_text(
            f"[operator]\nname = {operator}\n"
            "[store]\naddress = 127.0.0.1:1\ntoken_file = token\n"
        )
        out, err = io.StringIO(), io.StringIO()
        self.outputs_by_operator[operator] = out
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


def open_harness(context, store=None):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.harness = CommandHarness(Path(directory.name), store)


def set_write_fault(harness, kind, faults):
    """Give each write of a kind the next fault until there are none left."""

    def choose(method, seen):
        return next(faults, "") if seen == kind and method != "GET" else ""

    harness.store.fault_hook = choose


def check_records(harness):
    """Check that each write of an object is recorded with its content."""
    entries = [
        entry
        for item in harness.list_kind("history").values()
        for entry in item.spec["entries"]
    ]
    history = {entry["write_id"]: entry for entry in entries}
    audit = {
        name.rpartition("/")[2]: item
        for name, item in harness.list_kind("audit").items()
    }
    for kind in ("service", "route", "workspace"):
        for item in harness.list_kind(kind).values():
            assert history[item.write_id]["spec"] == item.spec, item
            (recorded,) = audit[item.write_id].spec["entries"]
            assert recorded["what"].split()[1:] == [kind, item.name], recorded


def check_command(harness, operator, command, faults):
    """Run a command under faults and compare what it said with the store."""
    read = lambda: [
        (kind, item.name, item.spec)
        for kind in ("service", "route", "workspace")
        for item in harness.list_kind(kind).values()
    ]
    before = read()
    remaining_faults = list(faults)

    def choose(method, kind):
        if not remaining_faults:
            return ""
        # "stay-away" is never removed, so that the command runs out of attempts.
        return "away" if remaining_faults[0] == "stay-away" else remaining_faults.pop(0)

    harness.store.fault_hook = choose
    code = harness.run(operator, command)
    harness.store.fault_hook = lambda method, kind: ""
    state = (command, faults, code, harness.out, harness.err)
    check_records(harness)
    if code == 0 and command.startswith("apply"):
        assert harness.run(operator, command.replace("apply", "diff")) == 0, state
    if code in (2, 3, 4):
        assert read() == before, state
    if code == 4:
        assert "nothing was changed" in harness.err, state
