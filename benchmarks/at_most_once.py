"""Retry keyed requests at other nodes while nodes and servers are killed.

The nodes, servers and store are real processes. The store works in the first third
of the run, does not answer in the second and loses answers in the last.
"""

import http.client
import json
import random
import sys
import threading
import time
from dataclasses import dataclass, field

from flamingobank_standins.local_fleet import LocalFleet, call_json

DOMAINS = ("domain-a", "domain-b", "domain-c")
NODES = 6
SERVERS = 6
MAX_SENDS = 8
CALL_TIMEOUT_S = 3.0
KEYS_PER_CALL = 20
# Share of the batches whose keys the caller chooses itself; such keys need the store.
CHOSEN_SHARE = 0.2
MANIFEST = """\
[service bench]
selector = app=bench
floor = 50%

[route bookings]
target = service=bench
path = /book
idempotent = no
expected_ms = 20
deadline_ms = 2000

[route lookups]
target = service=bench
path = /
expected_ms = 20
deadline_ms = 2000
"""


@dataclass
class OutcomeCounts:
    """Count keyed requests by the outcome that their caller knows at the end."""

    done: int = 0
    unknown: int = 0
    refused: int = 0
    keyed_ms: list[float] = field(default_factory=list)
    plain_ms: list[float] = field(default_factory=list)
    not_run_keys: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


def add_arguments(parser) -> None:
    """Add the options of this benchmark."""
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--callers", type=int, default=6)


def measure(options) -> dict:
    """Return the figures of one run."""
    rng = random.Random(options.seed)
    counts = OutcomeCounts()
    with LocalFleet("bench") as fleet:
        fleet.start_store()
        manifest = fleet.path / "bench.ini"
        manifest.write_text(MANIFEST)
        for index in range(NODES):
            name = f"node-{index}"
            fleet.start_node(name, DOMAINS[index % 3], manifests=[manifest])
        fleet.wait_for_nodes()
        for index in range(SERVERS):
            labels = {"app": "bench"}
            fleet.start_server(f"server-{index}", DOMAINS[index % 3], labels)
        fleet.wait_for_servers({"bench": SERVERS})
        time.sleep(1.5)
        print("measuring the added latency without faults", file=sys.stderr)
        _measure_latency(fleet, counts)
        stop = threading.Event()
        threads = [
            threading.Thread(
                target=_send_bookings,
                args=(fleet, counts, random.Random(f"{options.seed}/{index}"), stop),
            )
            for index in range(options.callers)
        ]
        for thread in threads:
            thread.start()
        kills = _inject_faults(fleet, manifest, rng, options.seconds)
        stop.set()
        for thread in threads:
            thread.join()
        runs = fleet.count_runs()
    total = counts.done + counts.unknown + counts.refused
    return {
        "duplicates": sum(1 for count in runs.values() if count > 1),
        "false_not_run": sum(1 for key in counts.not_run_keys if runs.get(key)),
        "done_ratio": round(counts.done / total, 4),
        "unknown_ratio": round(counts.unknown / total, 4),
        "refused_ratio": round(counts.refused / total, 4),
        "added_p99_ms": round(
            _percentile(counts.keyed_ms, 99) - _percentile(counts.plain_ms, 99), 3
        ),
        "added_p50_ms": round(
            _percentile(counts.keyed_ms, 50) - _percentile(counts.plain_ms, 50), 3
        ),
        "keys": total,
        "kills": kills,
    }


def _measure_latency(fleet: LocalFleet, counts: OutcomeCounts) -> None:
    address = next(iter(fleet.nodes.values())).settings.callers
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    keys = _take_keys(connection, 300)
    for key in keys:
        for path, headers, samples in (
            ("/book?ms=5&echo=x", {"Idempotency-Key": key}, counts.keyed_ms),
            ("/lookup?ms=5&echo=x", {}, counts.plain_ms),
        ):
            started = time.perf_counter()
            connection.request("POST", path, b"{}", headers)
            connection.getresponse().read()
            samples.append((time.perf_counter() - started) * 1000)
    connection.close()


def _take_keys(connection: http.client.HTTPConnection, count: int) -> list[str]:
    connection.request("POST", f"/.flamingobank/keys?count={count}", b"")
    return json.loads(connection.getresponse().read())["keys"]


def _send_bookings(
    fleet: LocalFleet, counts: OutcomeCounts, rng: random.Random, stop: threading.Event
) -> None:
    keys: list[str] = []
    while not stop.is_set():
        if not keys and rng.random() < CHOSEN_SHARE:
            keys = [f"chosen-{rng.getrandbits(64):016x}" for _ in range(KEYS_PER_CALL)]
        if not keys:
            keys = _try_to_take_keys(fleet, rng)
            continue
        _send_until_done(fleet, counts, rng, keys.pop())


def _try_to_take_keys(fleet: LocalFleet, rng: random.Random) -> list[str]:
    address = rng.choice(list(fleet.nodes.values())).settings.callers
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        return _take_keys(connection, KEYS_PER_CALL)
    except (OSError, ValueError, KeyError, http.client.HTTPException):
        time.sleep(0.05)
        return []
    finally:
        connection.close()


def _send_until_done(
    fleet: LocalFleet, counts: OutcomeCounts, rng: random.Random, key: str
) -> None:
    """Send one key to random nodes until it is done or all sends are used."""
    outcome = "refused"
    for _ in range(MAX_SENDS):
        address = rng.choice(list(fleet.nodes.values())).settings.callers
        result = _send_booking(address, key)
        if result == "done":
            outcome = "done"
            break
        if result != "not-run":
            outcome = "unknown"
        if result == "lost":
            # The outcome of this request is unknown; retry at once.
            continue
        time.sleep(rng.uniform(0.05, 0.2))
    with counts.lock:
        setattr(counts, outcome, getattr(counts, outcome) + 1)
        if outcome == "refused":
            counts.not_run_keys.append(key)


def _send_booking(address: tuple[str, int], key: str) -> str:
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.connect()
    except OSError:
        return "not-run"
    try:
        headers = {"Idempotency-Key": key}
        connection.request("POST", "/book?ms=20&echo=x", b"{}", headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return "lost"
    finally:
        connection.close()
    if response.status == 200:
        return "done"
    return response.getheader("Flamingobank-Outcome") or "unknown"


def _inject_faults(
    fleet: LocalFleet,
    manifest,
    rng: random.Random,
    seconds: float,
) -> int:
    """Kill or stop nodes and servers and replace them; return how many.

    The store gets other faults at the start of each third of the run.
    """
    started = time.monotonic()
    kills = 0
    phases = [{"outage": "none"}, {"outage": "hang"}, {"outage": "none"}]
    phases[2]["lose_ratio"] = 0.3
    phase = -1
    while (elapsed := time.monotonic() - started) < seconds:
        current = min(2, int(elapsed / (seconds / 3)))
        if current != phase:
            phase = current
            print(f"store: {phases[phase]}", file=sys.stderr)
            call_json(fleet.store_address, "POST", "/control", phases[phase])
        time.sleep(rng.uniform(1.0, 2.0))
        kills += 1
        if rng.random() < 0.6:
            name = rng.choice(list(fleet.nodes))
            _replace_node(fleet, name, manifest, rng)
        else:
            _replace_server(fleet, rng.choice(list(fleet.servers)))
    return kills


def _replace_node(fleet: LocalFleet, name: str, manifest, rng: random.Random) -> None:
    old = fleet.nodes[name]
    if rng.random() < 0.5:
        old.process.kill()
    else:
        old.process.terminate()
    old.process.wait()
    domain = old.settings.failure_domain
    fleet.start_node(name, domain, manifests=[manifest], settings=old.settings)


def _replace_server(fleet: LocalFleet, name: str) -> None:
    old = fleet.servers[name]
    old.process.kill()
    old.process.wait()
    fleet.start_server(name, old.failure_domain, old.labels)


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
