"""Run nodes, upstream servers and a store as processes on loopback."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from flamingobank.settings import NodeSettings, render_settings

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 40.0
LOG_TAIL_CHARACTERS = 3000
# Below the ephemeral port range of Linux, which starts at 32768.
PORT_RANGE = (10_000, 32_000)
_port_rng = random.Random()
_allocated_ports: set[int] = set()


@dataclass(slots=True)
class NodeProcess:
    """A started node and its settings."""

    settings: NodeSettings
    settings_file: Path
    process: subprocess.Popen


@dataclass(slots=True)
class ServerProcess:
    """A started upstream server and its announced properties."""

    instance: str
    failure_domain: str
    address: tuple[str, int]
    labels: dict[str, str]
    process: subprocess.Popen


class LocalFleet:
    """Start the processes of one fleet and end them by their process IDs.

    As a context manager it ends the processes on exit.
    """

    def __init__(self, region: str) -> None:
        self.region = region
        self.nodes: dict[str, NodeProcess] = {}
        self.servers: dict[str, ServerProcess] = {}
        self.store_address: tuple[str, int] | None = None
        self._directory = tempfile.TemporaryDirectory(prefix="flamingobank-")
        self.path = Path(self._directory.name)
        self.run_log = self.path / "runs.log"
        self._other_processes: list[subprocess.Popen] = []
        self._secret_file = self._write_secret("fleet.secret", os.urandom(24).hex())
        self.token_file = self._write_secret("store.token", os.urandom(16).hex())

    def __enter__(self) -> "LocalFleet":
        return self

    def __exit__(self, *exception) -> None:
        self.stop()

    def start_store(self) -> None:
        """Start the simulated store and wait until it listens."""
        self.store_address = (HOST, find_free_port())
        process = self._spawn(
            [
                "-m",
                "flamingobank_standins.store",
                "--listen",
                _format_address(self.store_address),
                "--token-file",
                str(self.token_file),
            ],
            "store",
        )
        self._other_processes.append(process)
        wait_until(lambda: accepts(self.store_address), "the store listens")

    def make_settings(self, node_id: str, failure_domain: str) -> NodeSettings:
        """Return settings with free ports and the first 3 started nodes as seeds."""
        seeds = tuple(node.settings.peers for node in list(self.nodes.values())[:3])
        return NodeSettings(
            node_id=node_id,
            failure_domain=failure_domain,
            region=self.region,
            callers=(HOST, find_free_port()),
            peers=(HOST, find_free_port()),
            servers=(HOST, find_free_port()),
            operators=(HOST, find_free_port()),
            seeds=seeds,
            store=self.store_address,
            store_token_file=self.token_file if self.store_address else None,
            fleet_secret_file=self._secret_file,
        )

    def start_node(
        self,
        node_id: str,
        failure_domain: str,
        manifests: Iterable[Path] = (),
        settings: NodeSettings | None = None,
    ) -> NodeProcess:
        """Start a node without waiting for it; ``wait_for_nodes`` waits."""
        settings = settings or self.make_settings(node_id, failure_domain)
        settings_file = self.path / f"{node_id}.ini"
        settings_file.write_text(render_settings(settings))
        arguments = ["-m", "flamingobank", "node", "--settings", str(settings_file)]
        for manifest in manifests:
            arguments += ["--manifest", str(manifest)]
        process = self._spawn(arguments, node_id)
        node = NodeProcess(settings, settings_file, process)
        self.nodes[node_id] = node
        return node

    def start_server(
        self, instance: str, failure_domain: str, labels: dict[str, str], slots: int = 4
    ) -> ServerProcess:
        """Start an upstream server that announces itself to the started nodes."""
        address = (HOST, find_free_port())
        arguments = [
            "-m",
            "flamingobank_standins.upstream",
            "--instance",
            instance,
            "--listen",
            _format_address(address),
            "--failure-domain",
            failure_domain,
            "--slots",
            str(slots),
            "--run-log",
            str(self.run_log),
        ]
        for name, value in labels.items():
            arguments += ["--label", f"{name}={value}"]
        for node in self.nodes.values():
            arguments += ["--node", _format_address(node.settings.servers)]
        process = self._spawn(arguments, instance)
        server = ServerProcess(instance, failure_domain, address, labels, process)
        self.servers[instance] = server
        return server

    def wait_for_nodes(self) -> None:
        """Wait until every node accepts connections at its operators' address."""
        for name, node in self.nodes.items():
            wait_until(
                lambda node=node: accepts(node.settings.operators),
                f"node {name} listens",
            )

    def wait_for_servers(self, expected: dict[str, int]) -> None:
        """Wait until every node reports the expected count of servers per service."""

        def all_known() -> bool:
            for node in self.nodes.values():
                services = {
                    row["service"]: row["announced"]
                    for row in self.read_status(node)["services"]
                }
                for service, count in expected.items():
                    if services.get(service) != count:
                        return False
            return True

        wait_until(all_known, f"all nodes know the servers {expected}")

    def read_status(self, node: NodeProcess) -> dict:
        """Return the status that a node reports to operators."""
        return call_json(node.settings.operators, "GET", "/status")

    def control_server(self, instance: str, **fields: object) -> dict:
        """Set faults of a server, if any are given, and return its counters."""
        method = "POST" if fields else "GET"
        address = self.servers[instance].address
        return call_json(address, method, "/control", fields or None)

    def start_all(
        self,
        domains: tuple[str, ...],
        nodes: int,
        servers: int,
        labels: dict[str, str],
        specs: dict[tuple[str, str], dict[str, str]],
    ) -> None:
        """Start a store, nodes and servers, and write objects to the store."""
        self.start_store()
        for index in range(nodes):
            self.start_node(f"node-{index}", domains[index % len(domains)])
        self.wait_for_nodes()
        for index in range(servers):
            domain = domains[index % len(domains)]
            self.start_server(f"server-{index}", domain, labels)
        for (kind, name), spec in specs.items():
            self.write_object(kind, name, spec)

    def write_object(self, kind: str, name: str, spec: dict[str, str]) -> int:
        """Create an object in the store and return its revision."""
        connection = http.client.HTTPConnection(*self.store_address, timeout=10)
        with contextlib.closing(connection):
            body = json.dumps({"spec": spec, "write_id": f"local-{kind}-{name}"})
            token = self.token_file.read_text().strip()
            headers = {"Authorization": f"Bearer {token}", "If-None-Match": "*"}
            connection.request("PUT", f"/v1/objects/{kind}/{name}", body, headers)
            return json.loads(connection.getresponse().read())["revision"]

    def count_runs(self) -> dict[str, int]:
        """Return how often each idempotency key was executed by any server.

        Executions of servers that were killed are included.
        """
        runs: dict[str, int] = {}
        if not self.run_log.exists():
            return runs
        for key in self.run_log.read_text().split():
            runs[key] = runs.get(key, 0) + 1
        return runs

    def stop(self) -> None:
        """Kill all processes of this fleet and delete its files."""
        self._report_crashes()
        processes = [node.process for node in self.nodes.values()]
        processes += [server.process for server in self.servers.values()]
        processes += self._other_processes
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        self._directory.cleanup()

    def _report_crashes(self) -> None:
        """Print the end of the log of each node that failed without being killed."""
        for name, node in self.nodes.items():
            if node.process.poll() in (None, 0, -signal.SIGKILL):
                continue
            tail = (self.path / f"{name}.log").read_text()[-LOG_TAIL_CHARACTERS:]
            code = node.process.returncode
            print(f"node {name} exited with code {code}:\n{tail}", file=sys.stderr)

    def _spawn(self, arguments: list[str], name: str) -> subprocess.Popen:
        with (self.path / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _write_secret(self, name: str, secret: str) -> Path:
        path = self.path / name
        path.write_text(secret + "\n")
        path.chmod(0o600)
        return path


def find_free_port() -> int:
    """Return a free port that no outgoing connection can occupy.

    An outgoing connection could occupy a port of the ephemeral range before a process
    that has just been started binds it.
    """
    while True:
        port = _port_rng.randrange(*PORT_RANGE)
        if port in _allocated_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


def call_json(
    address: tuple[str, int], method: str, path: str, fields: dict | None = None
) -> dict:
    """Send one HTTP request and return the JSON of its response."""
    connection = http.client.HTTPConnection(*address, timeout=5)
    with contextlib.closing(connection):
        body = json.dumps(fields) if fields is not None else None
        connection.request(method, path, body)
        return json.loads(connection.getresponse().read())


def terminate_and_wait(process: subprocess.Popen) -> int:
    """Send SIGTERM to a process, wait until it ends and return its exit code."""
    process.send_signal(signal.SIGTERM)
    return process.wait(STOP_TIMEOUT_S)


def wait_until(condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> float:
    """Wait for a condition and return how long it took, in seconds.

    Raises ``TimeoutError`` if it does not hold in time; ``what`` names it there.
    """
    started = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - started
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"timed out after {timeout_s} s waiting until {what}")
        time.sleep(POLL_S)


def accepts(address: tuple[str, int]) -> bool:
    """Return whether a process accepts connections at an address."""
    try:
        with socket.create_connection(address, timeout=1):
            return True
    except OSError:
        return False


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
