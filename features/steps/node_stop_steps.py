"""Stop a real node process while requests run."""

import http.client
import signal
import threading
import time

from behave import given, then, when

from benchmarks.at_most_once import MANIFEST
from flamingobank_standins.local_fleet import STOP_TIMEOUT_S, LocalFleet, wait_until

REQUESTS = 4
REQUEST_MS = 1000
CALL_TIMEOUT_S = 20.0


def _call(address, statuses):
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("POST", f"/lookup?ms={REQUEST_MS}&echo=x", b"{}")
        response = connection.getresponse()
        response.read()
        statuses.append(response.status)
    except (OSError, http.client.HTTPException) as error:
        statuses.append(repr(error))
    finally:
        connection.close()


@given("a real node with one server and 4 requests that run for a second")
def step_node_with_requests(context):
    fleet = LocalFleet("stop")
    context.add_cleanup(fleet.stop)
    manifest = fleet.path / "bench.ini"
    manifest.write_text(MANIFEST)
    context.node = fleet.start_node("node-0", "a", manifests=[manifest])
    fleet.wait_for_nodes()
    fleet.start_server("server-0", "a", {"app": "bench"})
    fleet.wait_for_servers({"bench": 1})
    context.statuses = []
    context.callers = [
        threading.Thread(
            target=_call, args=(context.node.settings.callers, context.statuses)
        )
        for _ in range(REQUESTS)
    ]
    for caller in context.callers:
        caller.start()
    wait_until(
        lambda: fleet.control_server("server-0")["in_use"] == REQUESTS,
        "the requests run",
    )


@when("the node gets SIGTERM twice")
def step_terminate(context):
    for _ in range(2):
        context.node.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)


@then("each of the requests is answered with 200")
def step_answered(context):
    for caller in context.callers:
        caller.join(CALL_TIMEOUT_S)
    assert context.statuses == [200] * REQUESTS, context.statuses


@then("the node exits by itself with code 0")
def step_exits(context):
    assert context.node.process.wait(STOP_TIMEOUT_S) == 0
