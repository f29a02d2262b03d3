"""Run both example deployments at their present sizes and show their behaviour."""

import configparser
import contextlib
import http.client
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from flamingobank_standins.local_fleet import (
    LocalFleet,
    NodeProcess,
    call_json,
    terminate_and_wait,
    wait_until,
)

EXAMPLES = Path(__file__).resolve().parent
CALLER_THREADS = 8
CALL_PAUSE_S = 0.02
ARCHIVE_QUERY = "parts=20&bytes=8192&interval=50"
ARCHIVE_BYTES = 20 * 8192
EJECTION_TIMEOUT_S = 15.0
# A new home ejects nothing in its first 6.5 s, because promises that its predecessor
# made may not have expired.
NEW_HOME_WAIT_S = 7.0


@dataclass(frozen=True)
class Deployment:
    """Deployment that the demo runs, with the names of the objects it uses."""

    name: str
    region: str
    domains: tuple[str, ...]
    # Number of servers by the value of their label "app".
    servers: dict[str, int]
    short_path: str
    short_service: str
    long_path: str
    changed_route: str
    workspace: str


DEPLOYMENTS = (
    Deployment(
        "faltwerk",
        "steiermark",
        ("graz-a", "graz-b", "leoben", "kapfenberg"),
        {"orders": 11, "patterns": 8},
        "/orders/status",
        "orders",
        "/patterns/archive",
        "order-status",
        "clinic-eggenberg",
    ),
    Deployment(
        "raksa",
        "my-west",
        ("kl-a", "kl-b", "pj-a", "shah-a"),
        {"franchise-desk": 17, "workshop-library": 8},
        "/parts",
        "franchise-desk",
        "/manuals/calibration",
        "parts-lookup",
        "shop-klang",
    ),
)


@dataclass
class CallCounts:
    """Counts of calls by their result."""

    complete: int = 0
    refused: int = 0
    failed: int = 0
    cut: int = 0
    wrong: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, name: str) -> None:
        """Count one call under the name of its result."""
        with self.lock:
            setattr(self, name, getattr(self, name) + 1)


class Callers:
    """Callers that send short requests from several threads until they are stopped."""

    def __init__(self, fleet: LocalFleet, deployment: Deployment) -> None:
        self.counts = CallCounts()
        self._fleet = fleet
        self._deployment = deployment
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,))
            for index in range(CALLER_THREADS)
        ]

    def start(self) -> None:
        """Start to send requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending requests, and wait for those in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, index: int) -> None:
        addresses = [node.settings.callers for node in self._fleet.nodes.values()]
        node_index = index
        number = 0
        connection = None
        while not self._stop.is_set():
            if connection is None:
                address = addresses[node_index % len(addresses)]
                node_index += 1
                connection = http.client.HTTPConnection(*address, timeout=10)
                try:
                    connection.connect()
                except OSError:
                    # A node that has left accepts no connections. No request was sent,
                    # so nothing is counted.
                    connection = None
                    continue
            number += 1
            if not self._call(connection, f"{index}-{number}"):
                connection.close()
                connection = None
            time.sleep(CALL_PAUSE_S)
        if connection is not None:
            connection.close()

    def _call(self, connection: http.client.HTTPConnection, echo: str) -> bool:
        """Send one request; return whether the connection can be used again."""
        target = f"{self._deployment.short_path}?ms=15&echo={echo}"
        headers = {"Flamingobank-Workspace": self._deployment.workspace}
        try:
            connection.request("GET", target, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            self.counts.add("cut")
            return False
        if response.status == 200:
            is_correct = body.endswith(f" {echo}\n".encode())
            self.counts.add("complete" if is_correct else "wrong")
        elif response.getheader("Flamingobank-Outcome") == "not-run":
            self.counts.add("refused")
        else:
            self.counts.add("failed")
        return not response.will_close


def main() -> int:
    """Run the demo of each deployment; return 0 if all of them succeeded, else 1."""
    started = time.monotonic()
    all_succeeded = True
    for deployment in DEPLOYMENTS:
        with LocalFleet(deployment.region) as fleet:
            all_succeeded = run_deployment(fleet, deployment) and all_succeeded
    print(f"demo took {time.monotonic() - started:.1f} s")
    return 0 if all_succeeded else 1


def run_deployment(fleet: LocalFleet, deployment: Deployment) -> bool:
    """Run one deployment and print what happens; return whether it succeeded.

    It succeeds if the archive arrives complete, the node and the server shut down with
    exit code 0, no call is cut off and none gets a wrong answer.
    """
    server_count = sum(deployment.servers.values())
    print(
        f"\n== {deployment.name}: {server_count} servers, 8 nodes, {deployment.region}"
    )
    _start(fleet, deployment)
    config = _write_config(fleet, deployment)
    _apply(config, EXAMPLES / deployment.name)
    fleet.wait_for_servers(deployment.servers)
    callers = Callers(fleet, deployment)
    callers.start()
    try:
        time.sleep(NEW_HOME_WAIT_S)
        archive_complete = _show_archive(fleet, deployment)
        _show_gray_server(fleet, deployment)
        _show_change(fleet, deployment, config)
        clean_exits = _show_shutdowns(fleet, deployment)
    finally:
        callers.stop()
    counts = callers.counts
    print(
        f"{deployment.short_service}: {counts.complete} calls answered complete, "
        f"{counts.refused} refused as not run, {counts.failed} failed, "
        f"{counts.wrong} wrong answers"
    )
    print(f"requests cut while a node and a server shut down: {counts.cut}")
    return archive_complete and clean_exits and not counts.cut and not counts.wrong


def _start(fleet: LocalFleet, deployment: Deployment) -> None:
    fleet.start_store()
    for index in range(8):
        domain = deployment.domains[index % 4]
        fleet.start_node(f"{domain}-{index // 4}", domain)
    fleet.wait_for_nodes()
    for app, count in deployment.servers.items():
        for index in range(count):
            fleet.start_server(
                f"{app}-{index}", deployment.domains[index % 4], {"app": app}
            )


def _write_config(fleet: LocalFleet, deployment: Deployment) -> Path:
    store = f"{fleet.store_address[0]}:{fleet.store_address[1]}"
    nodes = [node.settings.operators for node in fleet.nodes.values()]
    config = configparser.ConfigParser()
    config["operator"] = {"name": "demo"}
    config["store"] = {"address": store, "token_file": str(fleet.token_file)}
    config["nodes"] = {"addresses": ", ".join(f"{host}:{port}" for host, port in nodes)}
    path = fleet.path / "operator.ini"
    with path.open("w") as file:
        config.write(file)
    return path


def _apply(config: Path, *paths: Path) -> None:
    manifests = []
    for path in paths:
        candidates = sorted(path.glob("*.ini")) if path.is_dir() else [path]
        manifests += [
            manifest
            for manifest in candidates
            if manifest.stem not in ("node", "operator")
        ]
    command = [sys.executable, "-m", "flamingobank", "--config", str(config), "apply"]
    completed = subprocess.run(
        [*command, "--wait", *map(str, manifests)], capture_output=True, text=True
    )
    if completed.returncode:
        raise RuntimeError(f"apply failed: {completed.stdout}{completed.stderr}")
    print(completed.stdout.strip().splitlines()[-1])


def _show_archive(fleet: LocalFleet, deployment: Deployment) -> bool:
    node = next(iter(fleet.nodes.values()))
    connection = http.client.HTTPConnection(*node.settings.callers, timeout=20)
    with contextlib.closing(connection):
        started = time.monotonic()
        headers = {"Flamingobank-Workspace": deployment.workspace}
        target = f"{deployment.long_path}?{ARCHIVE_QUERY}"
        connection.request("GET", target, headers=headers)
        response = connection.getresponse()
        size = len(response.read(1))
        first_part_s = time.monotonic() - started
        size += len(response.read())
        last_part_s = time.monotonic() - started
    print(
        f"archive pull: status {response.status}, "
        f"first part after {first_part_s:.3f} s, "
        f"last part after {last_part_s:.3f} s, {size} bytes"
    )
    return response.status == 200 and size == ARCHIVE_BYTES


def _show_gray_server(fleet: LocalFleet, deployment: Deployment) -> None:
    instance = f"{deployment.short_service}-3"
    node = fleet.nodes[fleet.control_server(instance)["home"]]
    fleet.control_server(instance, mode="fail-half")

    def is_ejected() -> bool:
        return _read_stage(fleet, node, instance) != "in-service"

    elapsed_s = wait_until(is_ejected, f"{instance} is ejected", EJECTION_TIMEOUT_S)
    print(
        f"gray server {instance} removed after {elapsed_s:.2f} s (half its work failed)"
    )
    fleet.control_server(instance, mode="healthy")


def _read_stage(fleet: LocalFleet, node: NodeProcess, instance: str) -> str:
    for server in fleet.read_status(node)["servers"]:
        if server["instance"] == instance:
            return server["stage"]
    return "unknown"


def _show_change(fleet: LocalFleet, deployment: Deployment, config: Path) -> None:
    text = (EXAMPLES / deployment.name / "routes.ini").read_text()
    parser = configparser.ConfigParser()
    parser.read_string(text)
    section = f"route {deployment.changed_route}"
    manifest = configparser.ConfigParser()
    manifest[section] = dict(parser[section], deadline_ms="1900")
    path = fleet.path / "change.ini"
    with path.open("w") as file:
        manifest.write(file)
    started = time.monotonic()
    _apply(config, path)
    elapsed_s = time.monotonic() - started
    statuses = [fleet.read_status(node) for node in fleet.nodes.values()]
    revision = max(status["revision"] for status in statuses)
    count = sum(1 for status in statuses if status["revision"] == revision)
    print(
        f"change of {section}: in force on {count} of {len(statuses)} nodes "
        f"{elapsed_s:.2f} s after the operator's command began"
    )


def _show_shutdowns(fleet: LocalFleet, deployment: Deployment) -> bool:
    leaving_name = list(fleet.nodes)[5]
    instance = f"{deployment.short_service}-1"
    server = fleet.servers[instance]
    served_count = call_json(server.address, "GET", "/control")["served"]
    server.process.terminate()
    node_code = terminate_and_wait(fleet.nodes[leaving_name].process)
    server_code = terminate_and_wait(server.process)
    print(
        f"node {leaving_name} and server {instance} ({served_count} requests served) "
        f"shut down gracefully with exit codes {node_code} and {server_code}"
    )
    return node_code == 0 and server_code == 0


if __name__ == "__main__":
    sys.exit(main())
