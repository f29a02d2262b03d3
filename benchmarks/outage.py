"""Measure serving during a store outage while a third of the nodes are replaced."""

import http.client
import sys
import threading
import time
from dataclasses import dataclass, field

from flamingobank_standins.local_fleet import (
    LocalFleet,
    call_json,
    wait_until,
)

DOMAINS = ("domain-a", "domain-b", "domain-c")
NODES = 9
SERVERS = 9
CALLER_THREADS = 6
CALL_PAUSE_S = 0.01
SERVING_TIMEOUT_S = 20.0
SPECS = {
    ("service", "bench"): {"selector": "app=bench", "floor": "50%"},
    ("route", "bench"): {
        "target": "service=bench",
        "path": "/",
        "expected_ms": "10",
        "deadline_ms": "5000",
    },
}


@dataclass
class CallResults:
    """Counts of calls by their result."""

    answered: int = 0
    failed: dict[str, int] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, result: str) -> None:
        """Count one call under its result."""
        with self.lock:
            if result == "answered":
                self.answered += 1
            else:
                self.failed[result] = self.failed.get(result, 0) + 1


def add_arguments(parser) -> None:
    """Add the option for the duration of the outage."""
    parser.add_argument("--seconds", type=float, default=30.0)


def measure(options) -> dict:
    """Run the fleet through an outage; return call counts and replacement times."""
    calls = CallResults()
    with LocalFleet("bench") as fleet:
        fleet.start_all(DOMAINS, NODES, SERVERS, {"app": "bench"}, SPECS)
        fleet.wait_for_servers({"bench": SERVERS})
        call_json(fleet.store_address, "POST", "/control", {"outage": "hang"})
        print("the store does not answer", file=sys.stderr)
        stop = threading.Event()
        threads = [
            threading.Thread(target=_run_caller, args=(fleet, calls, index, stop))
            for index in range(CALLER_THREADS)
        ]
        for thread in threads:
            thread.start()
        serving_delays_s = _replace_nodes(fleet, options.seconds)
        stop.set()
        for thread in threads:
            thread.join()
    total = calls.answered + sum(calls.failed.values())
    return {
        "answered_ratio": round(calls.answered / total, 5),
        "replaced_serving_p99_s": round(max(serving_delays_s), 3),
        "replaced": len(serving_delays_s),
        "requests": total,
        "failed": calls.failed,
    }


def _replace_nodes(fleet: LocalFleet, seconds: float) -> list[float]:
    """Replace a third of the nodes, alternately by SIGKILL and by SIGTERM.

    Returns the seconds from the start of each new node to its first answer.
    """
    names = list(fleet.nodes)[: NODES // 3]
    serving_delays_s = []
    for index, name in enumerate(names):
        time.sleep(seconds / (len(names) + 1))
        old = fleet.nodes[name]
        if index % 2:
            old.process.terminate()
        else:
            old.process.kill()
        old.process.wait()
        started = time.monotonic()
        node = fleet.start_node(
            name, old.settings.failure_domain, settings=old.settings
        )
        address = node.settings.callers
        wait_until(
            lambda address=address: _send_call(address) == "answered",
            f"{name} serves",
            SERVING_TIMEOUT_S,
        )
        serving_delays_s.append(time.monotonic() - started)
    time.sleep(seconds / (len(names) + 1))
    return serving_delays_s


def _run_caller(
    fleet: LocalFleet, calls: CallResults, index: int, stop: threading.Event
) -> None:
    """Send idempotent calls one after another and count their results.

    The caller stays with a node as long as it answers, as a connected caller does. A
    call whose connection fails is repeated with the next node, up to 2 times.
    """
    node_index = index
    while not stop.is_set():
        addresses = [node.settings.callers for node in list(fleet.nodes.values())]
        result = _send_call(addresses[node_index % len(addresses)])
        for _ in range(2):
            if result != "gone":
                break
            node_index += 1
            result = _send_call(addresses[node_index % len(addresses)])
        calls.add(result)
        time.sleep(CALL_PAUSE_S)


def _send_call(address: tuple[str, int]) -> str:
    connection = http.client.HTTPConnection(*address, timeout=8)
    try:
        connection.request("GET", "/?ms=10&echo=x")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException):
        return "gone"
    finally:
        connection.close()
    if response.status == 200 and body.endswith(b" x\n"):
        return "answered"
    return response.getheader("Flamingobank-Reason") or str(response.status)
