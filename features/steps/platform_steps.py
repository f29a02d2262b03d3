"""Test the adapter to the users' platform."""

import copy
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from flamingobank.core import InstanceId, RequestId
from flamingobank.platform.announcements import decode_call
from flamingobank.platform.configuration import decode_configuration
from flamingobank.platform.headers import PlatformDialect
from flamingobank.platform.settings import SettingsFile
from flamingobank.sidecar.fleet.routes import RouteKind, RoutingTable
from flamingobank.sidecar.fleet.server_state import Announcement, Departure, Lifecycle

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=300)
SETTINGS = """
[self]
node-name = "sidecar-a-1"
ip = "127.0.0.1"
zone = "graz-a"
application = "127.0.0.1:8145"
service = "huvo11a"
[network]
internal-ports = [7380,7395]
[network.listen]
outbound = "127.0.0.1:8147"
readiness = "127.0.0.1:8141"
control = "127.0.0.1:8144"
[platform]
heartbeat-interval-s = 1.5
[platform.platform]
address = "127.0.0.1:8142"
[terms.bounds]
grace-s = 6
config-propagation-s = 2.5
budget-ratio = 0.2
budget-window-s = 10
budget-extra-tries = 56
"""
CONFIGURATION = {
    "version": "0000000c",
    "resources": [
        {
            "resource-kind": "routes",
            "metadata": {"name": "r-1"},
            "specification": {
                "host": "Ficu95.example",
                "path-prefix": "/pufi/",
                "kind": "unsafe",
                "timeout-s": 4,
                "target-latency-s": 1,
                "priority": 1,
                "service": "huvo11a",
                "max-attempts": 2,
            },
        },
        {
            "resource-kind": "routes",
            "metadata": {"name": "r-2"},
            "specification": {
                "host": "ficu95.example",
                "path-prefix": "/lohu/",
                "kind": "safe",
                "timeout-s": 3,
                "target-latency-s": 1,
                "priority": 2,
                "weighted-split": [
                    {"service": "huvo11a", "weight": 90},
                    {"service": "wuno96b", "weight": 10},
                ],
                "max-attempts": 2,
            },
        },
        {
            "resource-kind": "services",
            "metadata": {"name": "huvo11a"},
            "specification": {"health-path": "/health", "connection-limit": 330},
        },
        {
            "resource-kind": "limits",
            "metadata": {},
            "specification": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout-s": 3,
                "idle-timeout-s": 15,
            },
        },
    ],
}
HEARTBEAT = {
    "born": 1_700_000_000_000,
    "address": "10.128.0.9:8080",
    "info": {"service": "huvo11a", "version": "v1", "zone": "graz-a", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "warmup-remaining-s": 0},
}
REPLACEMENT_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-5, 10**20),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def _corrupt(document, draw):
    """Replace one value somewhere in a copy of a document."""
    corrupted = copy.deepcopy(document)
    container = corrupted
    while True:
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        key = draw(st.sampled_from(keys))
        inner = container[key]
        if isinstance(inner, dict | list) and inner and draw(st.booleans()):
            container = inner
            continue
        container[key] = draw(REPLACEMENT_VALUES)
        return corrupted


@given("a settings file of the platform")
def step_settings(context):
    context.settings_text = SETTINGS


@given('a settings file of the platform without "{line}"')
def step_settings_without(context, line):
    lines = [text for text in SETTINGS.splitlines() if not text.startswith(line)]
    context.settings_text = "\n".join(lines)


@given("a settings file of the platform with an unknown field")
def step_settings_unknown(context):
    context.settings_text = SETTINGS + '\n[novel]\nfield = "x"\n'


@when("it is loaded")
def step_load_settings(context):
    with TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(context.settings_text)
        context.loaded = SettingsFile(path).load()


@then("the sidecar knows its addresses, its service and the retry budget")
def step_check_settings(context):
    loaded = context.loaded.ok
    assert loaded.callers == ("127.0.0.1", 8147)
    assert loaded.control == ("127.0.0.1", 8144)
    assert loaded.peers == ("127.0.0.1", 7380)
    assert loaded.store == ("127.0.0.1", 8142)
    assert loaded.service == "huvo11a"
    assert loaded.bounds.retry_extra == 56
    assert loaded.bounds.propagation_s == 2.5


@then('loading fails and names "{field}"')
def step_settings_rejected(context, field):
    assert field in context.loaded.error, context.loaded


@given("the operator's configuration")
def step_configuration(context):
    context.document = CONFIGURATION


@when("it is decoded")
def step_decode_configuration(context):
    context.decoded = decode_configuration(context.document).ok


@then("the table has its version, routes, split and limits")
def step_check_routing_table(context):
    decoded = context.decoded
    assert decoded.version == 12
    assert decoded.find("ficu95.example", "/pufi/x").kind is RouteKind.UNSAFE
    split = decoded.find("ficu95.example", "/lohu/x").targets
    assert [target.weight for target in split] == [90, 10]
    assert decoded.limits.idle_timeout_s == 15
    assert decoded.services == {"huvo11a"}


@when("single values of it are replaced at random")
def step_corrupt_configuration(context):
    context.results = []

    @RANDOMISED
    @for_all(st.data())
    def run(data):
        context.results.append(decode_configuration(_corrupt(CONFIGURATION, data.draw)))

    run()


@then("each result is a table or an error")
def step_tables_or_errors(context):
    for result in context.results:
        value = result.ok if result.is_ok() else result.error
        assert isinstance(value, RoutingTable | str)


def _call(instance, call, document):
    path = f"/flamingobank/instances/{instance}/{call}"
    return decode_call("POST", path, json.dumps(document).encode())


@when('a heartbeat of instance "{instance}" arrives')
def step_heartbeat(context, instance):
    context.call = _call(instance, "heartbeat", HEARTBEAT).ok


@then(
    'it announces "{instance}" of "{service}" at {host}:{port:d} with {slots:d} slots'
)
def step_announces(context, instance, service, host, port, slots):
    call = context.call
    assert isinstance(call, Announcement)
    assert (call.instance, call.service) == (instance, service)
    assert (call.address, call.slots) == ((host, port), slots)
    assert (call.sequence, call.lifecycle) == (4, Lifecycle.READY)


@when("heartbeats with single values replaced at random arrive")
def step_corrupt_heartbeats(context):
    context.results = []

    @RANDOMISED
    @for_all(st.data())
    def run(data):
        context.results.append(
            _call("i-7f", "heartbeat", _corrupt(HEARTBEAT, data.draw))
        )

    run()
    context.results.append(
        decode_call("POST", "/flamingobank/instances/i/heartbeat", b"{")
    )
    context.results.append(
        decode_call("POST", "/flamingobank/instances/i/heartbeat", b"\xff\xfe[")
    )


ODD_VALUES = {
    "a lone surrogate": "\ud800",
    "100000 characters": "x" * 100_000,
    "a number of 30 digits": 10**29,
}


@when("a heartbeat arrives whose {field} is {value}")
def step_odd_heartbeat(context, field, value):
    heartbeat = copy.deepcopy(HEARTBEAT)
    part = heartbeat if field == "address" else heartbeat["info"]
    assert field in part
    part[field] = ODD_VALUES.get(value, value)
    context.result = _call("i-7f", "heartbeat", heartbeat)


@then("it announces no server")
def step_no_server(context):
    assert context.result.is_error()


@then("each is an announcement with every field valid or an error")
def step_valid_or_error(context):
    errors = 0
    for result in context.results:
        if result.is_error():
            errors += 1
            continue
        call = result.ok
        assert call.service and call.version and call.slots >= 1
        assert 0 < call.address[1] < 65536
        assert call.sequence >= 0 and call.warmup_remaining_s >= 0
    assert errors > len(context.results) / 3, errors


@when('a deregistration of instance "{instance}" arrives')
def step_deregistration(context, instance):
    context.call = _call(instance, "deregister", {"born": 5}).ok


@then('it is a departure of "{instance}"')
def step_departure(context, instance):
    assert context.call == Departure(InstanceId(instance), 5)


@when("a caller's request is encoded for a server")
def step_encode_request(context):
    headers = [
        (b"host", b"x.example"),
        (b"request-id", b"r1"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-kept", b"2"),
        (b"calling-service", b"forged"),
        (b"expected-instance", b"forged"),
        (b"deadline-milliseconds", b"99999"),
        (b"transfer-encoding", b"chunked"),
    ]
    encoded_head, encoded_body = PlatformDialect().encode_request(
        "POST", b"/a?b=%20", headers, b"body", InstanceId("i-1"), 1.25, "orders"
    )
    encoded = encoded_head + encoded_body
    head, _, context.body = encoded.partition(b"\r\n\r\n")
    context.lines = head.split(b"\r\n")


@then("the server gets each header that belongs to the request")
def step_check_headers(context):
    assert context.lines[0] == b"POST /a?b=%20 HTTP/1.1"
    assert context.body == b"body"
    for line in (b"host: x.example", b"request-id: r1", b"x-kept: 2"):
        assert line in context.lines
    assert b"content-length: 4" in context.lines
    assert not any(b"hop" in line or b"chunked" in line for line in context.lines)


@then("the calling service, expected instance and remaining time are the sidecar's")
def step_own_headers(context):
    for line in (
        b"calling-service: orders",
        b"expected-instance: i-1",
        b"deadline-milliseconds: 1250",
    ):
        assert line in context.lines, context.lines
    assert not any(b"forged" in line for line in context.lines)


@when('a server answers {status:d} with "{header}"')
def step_read_answer(context, status, header):
    name, _, value = header.partition(": ")
    headers = [(name.encode(), value.encode())]
    context.facts = PlatformDialect().read_server(status, headers, RequestId("r1"))


@then("the request {ran}")
def step_check_run(context, ran):
    assert context.facts.not_run == (ran == "did not run")


@then("the answer belongs to another request")
def step_check_foreign_answer(context):
    assert context.facts.foreign


@then("the limit is {limit} and it is {named}")
def step_rate_limit(context, limit, named):
    expected = None if limit == "None" else float(limit)
    assert context.facts.rate_limit_per_s == expected
    assert context.facts.names_rate_limit == (named == "named")


@then("the answer says that the server {leaves}")
def step_leaving(context, leaves):
    assert context.facts.leaving == (leaves == "leaves")
