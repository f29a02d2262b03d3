"""Check the explanations of where requests would go."""

import http.server
import json
import random
import tempfile
import threading
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from features.support.command_harness import CommandHarness
from features.support.scheduling import WORKSPACE, CostHarness
from features.support.sidecar import REPORT, RecordingRequest
from flamingobank.core import NodeId
from flamingobank.sidecar.explanation_handler import ExplanationHandler
from flamingobank.sidecar.fleet.routes import RouteKind
from flamingobank.sidecar.fleet.workspaces import hash_key

QUERY = b"/explain?host=x.example&path=/a/x&deadline_ms=2000"
CLINIC_QUERY = QUERY + b"&workspace=clinic"
# Parts of the harness that an explanation may not reach.
SKIPPED = ("clock", "timers", "event_log", "_event_log", "_logger", "metrics")


def describe(value, path=()):
    """Return the whole state below a value as nested tuples."""
    if isinstance(value, random.Random):
        return value.getstate()
    if id(value) in path or callable(value):
        return "..."
    path = (*path, id(value))
    if isinstance(value, dict):
        return [(describe(k, path), describe(v, path)) for k, v in value.items()]
    if isinstance(value, list | tuple | set | frozenset):
        return [describe(item, path) for item in value]
    names = list(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        names += getattr(kind, "__slots__", ())
    if not names:
        return list(value) if hasattr(value, "popleft") else repr(value)
    return [
        (name, describe(getattr(value, name, None), path))
        for name in names
        if name not in SKIPPED
    ]


def explain(context, target=None):
    """Return the status and content of an explanation, by default with a workspace."""
    if target is None:
        target = CLINIC_QUERY if context.entry.has_workspaces else QUERY
    request = RecordingRequest(0.0, RouteKind.SAFE)
    request.target = target
    context.handler.answer(request)
    status, _, body = request.answers[0]
    return status, json.loads(body)


def build(context, harness):
    """Attach a handler of explanations to a harness."""
    entry = context.entry = harness.entry
    context.harness = harness
    context.quotas = SimpleNamespace(
        is_limited=lambda name: False, find_owner=lambda name: None
    )
    context.handler = ExplanationHandler(
        harness.loop.clock,
        entry,
        harness.peers,
        entry._retries,
        entry._rng,
        harness.homes.get,
        context.quotas,
    )


@given("an entry with {count:d} homes that has served requests, scheduled by {way}")
def step_entry(context, count, way):
    scripts = [["grant", 200] * 50] * count
    harness = CostHarness(RouteKind.SAFE, scripts, by_cost=way == "cost")
    build(context, harness)
    for _ in range(20):
        harness.serve()


@given("an entry with {count:d} homes that has served no requests")
def step_new_entry(context, count):
    build(context, CostHarness(RouteKind.SAFE, [["grant", 200]] * count))


@given("its homes are {room} of room")
def step_room(context, room):
    now = context.harness.loop.clock.now()
    for view in context.entry.homes._views.values():
        if room == "short":
            report = replace(REPORT, shedding=0.9, backlog_s=20.0, waiting=30)
            view.update_report(report, now)


@when("a request is explained {count:d} times")
def step_explain(context, count):
    context.harness.peers.list_homes("orders")
    context.before = describe([context.entry, context.harness.peers])
    context.explanations = [explain(context)[1] for _ in range(count)]


@then("the state of the entry is unchanged")
def step_unchanged(context):
    assert describe([context.entry, context.harness.peers]) == context.before


@then('each explanation says "{outcome}"')
def step_outcome(context, outcome):
    outcomes = {explanation["outcome"] for explanation in context.explanations}
    assert outcomes == {outcome}, outcomes


@then("for {count:d} requests in turn the explained home gets the offer")
def step_same_home(context, count):
    for _ in range(count):
        (target,) = explain(context)[1]["targets"]
        earlier = {
            node: len(home.offers) for node, home in context.harness.homes.items()
        }
        assert context.harness.serve() == 200
        offered = [
            node
            for node, home in context.harness.homes.items()
            if len(home.offers) > earlier[node]
        ]
        assert offered == [target["home"]], (offered, target)


@when("the next request is refused")
def step_refused(context):
    assert context.harness.serve() == 503


@then("the explanation states the same Retry-After")
def step_retry_after(context):
    (target,) = context.explanations[0]["targets"]
    headers = context.harness.request.answers[0][1]
    values = {name.lower(): value for name, value in headers.items()}
    assert float(values[b"retry-after"]) == target["retry_after_s"], (values, target)


@given('an entry whose workspace "{name}" has the key "{key}"')
def step_workspace(context, name, key):
    harness = CostHarness(RouteKind.SAFE, [["grant", 200]], public=True)
    build(context, harness)
    context.digest = hash_key(key.encode())
    harness.change_route(public=False)
    workspace = replace(WORKSPACE, key_digests=(context.digest,))
    harness.entry.table = replace(harness.entry.table, workspaces=(workspace,))
    context.quotas.is_limited = lambda name: True
    context.quotas.find_owner = lambda name: NodeId("h0")


@then('the explanation for workspace "{name}" says "{outcome}" and holds no digest')
def step_workspace_outcome(context, name, outcome):
    status, content = explain(context, QUERY + b"&workspace=" + name.encode())
    assert (status, content["outcome"]) == (200, outcome), content
    assert content["workspace"]["quota_owner"] == "h0", content
    assert context.digest.hex() not in json.dumps(content)


@then('the explanation without a workspace says "{outcome}"')
def step_no_workspace(context, outcome):
    _, content = explain(context, QUERY)
    assert content["outcome"] == outcome, content


@then('a parameter "key" is answered 400 without its value')
def step_key(context):
    status, content = explain(context, QUERY + b"&key=secret")
    assert status == 400 and "secret" not in json.dumps(content), content


@given("a process on the loopback that explains a request")
def step_process(context):
    build(context, CostHarness(RouteKind.SAFE, [["grant", 200]] * 3))
    _, context.content = explain(context)

    class Answerer(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            context.target = self.path
            self.send_response(200)
            self.end_headers()
            self.wfile.write(json.dumps(context.content).encode())

        def log_message(self, *values):
            return

    server = http.server.HTTPServer(("127.0.0.1", 0), Answerer)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.port = server.server_port


@when("an operator runs where for it")
def step_run(context):
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    directory = Path(holder.name)
    harness = CommandHarness(directory)
    command = f"where x.example /a/x --node 127.0.0.1:{context.port} --deadline 2000"
    context.codes = [harness.run("kim", command)]
    context.printed = harness.out
    context.codes.append(harness.run("kim", command + " --json"))
    context.json = harness.out


@then("the table marks the chosen home")
def step_table(context):
    assert context.codes == [0, 0], context.codes
    home = context.content["targets"][0]["home"]
    marked = [line for line in context.printed.splitlines() if line.startswith("*")]
    assert len(marked) == 1 and home in marked[0], context.printed
    assert "path=%2Fa%2Fx" in context.target and "deadline_ms=2000" in context.target


@then("with --json the answer is printed as it came")
def step_json(context):
    assert json.loads(context.json) == context.content
