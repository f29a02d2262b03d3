"""Sidecar processes on loopback, with a store and servers that run in threads."""

import contextlib
import http.client
import http.server
import json
import os
import random
import subprocess
import sys
import threading
import time
from pathlib import Path
from urllib.parse import unquote

from features.support.loop import TestLoop
from flamingobank_standins.platform.store import PlatformStore

HEARTBEAT_S = 0.5
START_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 60.0
# What a crowd has sent may be processed for some time afterwards. The peak counts when
# it has hardly risen for this long.
STILL_S = 2.0
STILL_MB = 1.0
MAX_STILL_WAIT_S = 30.0
# The store's loop turns without waiting and would take most of this process's time.
STORE_PAUSE_S = 0.002
ROUTE_TIMEOUT_S = 50
MAX_BODY_BYTES = 4_194_304
SLOTS = 60
STREAM_PIECE = b"s" * 65536
# What a server sends first, and then without end.
ENDLESS_ANSWERS = {
    "a head": (b"", b"X-More: " + b"m" * 1000 + b"\r\n"),
    "a header": (b"X-Long: ", STREAM_PIECE),
    "a body with a length": (b"Content-Length: 999999999999\r\n\r\n", STREAM_PIECE),
    "a body of chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n%s\r\n" % STREAM_PIECE,
    ),
    "a body of small chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\ns\r\n" * 10_000,
    ),
}
SETTINGS = """
[self]
node-name = "{name}"
ip = "{host}"
zone = "a"
application = "{host}:8080"
service = "orders"
[self.limits]
memory-mb = {memory_mb}
file-descriptors = {descriptors}
[network]
internal-ports = [7380, 7395]
[network.listen]
outbound = "{host}:8081"
readiness = "{host}:8082"
control = "{host}:8083"
[platform]
heartbeat-interval-s = 0.5
[platform.platform]
address = "{store}"
[terms.bounds]
grace-s = 6
"""


class StreamingServer(http.server.BaseHTTPRequestHandler):
    """Answer shortly, never, or with as many bytes as the path says."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *details):
        """Write no lines."""

    def do_POST(self):
        """Read the body and answer."""
        self.rfile.read(int(self.headers.get("content-length", 0)))
        if self.path == "/safe/hold":
            time.sleep(ROUTE_TIMEOUT_S)
        request_id = self.headers.get("request-id", "")
        if self.path.startswith("/safe/endless/"):
            self._send_without_end(request_id, unquote(self.path.rpartition("/")[2]))
            return
        count = 2
        if self.path.startswith("/safe/stream/"):
            count = int(self.path.rpartition("/")[2])
        self.send_response(200)
        self.send_header("Request-Id", request_id)
        self.send_header("Server-Seal", "s")
        self.send_header("Content-Length", str(count))
        self.end_headers()
        try:
            while count:
                piece = STREAM_PIECE[:count]
                self.wfile.write(piece)
                count -= len(piece)
        except OSError:
            self.close_connection = True

    def _send_without_end(self, request_id, what):
        """Send bytes until the sidecar closes the connection."""
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: s\r\n"
        first, repeated = ENDLESS_ANSWERS[what]
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.wfile.write(head.encode() + first)
            while True:
                self.wfile.write(repeated)


class ThreadedServer(http.server.ThreadingHTTPServer):
    """A server that takes many connections at once."""

    request_queue_size = 256
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Write nothing about a connection that the sidecar has reset."""


class ServerStandIn:
    """A server in threads that sends heartbeats to its sidecar."""

    def __init__(self, host):
        self._host = host
        self._stopped = threading.Event()
        self._server = ThreadedServer((host, 8080), StreamingServer)
        for run in (self._server.serve_forever, self._send_heartbeats):
            threading.Thread(target=run, daemon=True).start()

    def close(self):
        """Stop serving and sending heartbeats."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _send_heartbeats(self):
        born, sequence = int(time.time() * 1000), 0
        while not self._stopped.wait(HEARTBEAT_S):
            sequence += 1
            status = {"state": "ready", "sequence": sequence, "warmup-remaining-s": 0}
            info = {"service": "orders", "version": "v1", "zone": "a", "slots": SLOTS}
            address = f"{self._host}:8080"
            body = {"born": born, "address": address, "info": info, "status": status}
            connection = http.client.HTTPConnection(self._host, 8083, timeout=5)
            try:
                connection.request(
                    "POST", "/flamingobank/instances/i-1/heartbeat", json.dumps(body)
                )
                connection.getresponse().read()
            except OSError:
                continue
            finally:
                connection.close()


class SidecarProcess:
    """A process of the product with limits of its own."""

    def __init__(self, directory, host, store, memory_mb, descriptors):
        self.host = host
        self._log = directory / f"{host}.log"
        settings = directory / f"{host}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"n-{host}",
                host=host,
                store=f"{store[0]}:{store[1]}",
                memory_mb=memory_mb,
                descriptors=descriptors,
            )
        )
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "flamingobank.platform"],
                env={**os.environ, "FLAMINGOBANK_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    @property
    def peak_mb(self):
        """Return the largest resident memory so far, in megabytes."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError("the process has ended")

    @property
    def open_descriptors(self):
        """Return how many descriptors are open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_until_still(self):
        """Wait until the memory grows no more; return the most open descriptors."""
        deadline = time.monotonic() + MAX_STILL_WAIT_S
        peak_mb, since = self.peak_mb, time.monotonic()
        most_descriptors = self.open_descriptors
        while time.monotonic() < min(deadline, since + STILL_S):
            time.sleep(0.1)
            most_descriptors = max(most_descriptors, self.open_descriptors)
            if self.peak_mb > peak_mb + STILL_MB:
                peak_mb, since = self.peak_mb, time.monotonic()
        return most_descriptors

    def assert_lives(self):
        """Fail if the process ended or does not answer its readiness question."""
        code = self.process.poll()
        assert code is None, (code, self._log.read_text()[-2000:])
        assert self.call(8082, "/") == 200

    def call(self, port, path, body=b"", timeout_s=REQUEST_TIMEOUT_S):
        """Send one ordinary request and return its status."""
        connection = http.client.HTTPConnection(self.host, port, timeout=timeout_s)
        try:
            connection.request(
                "POST", path, body, {"Host": "x.example", "Request-Id": "ordinary"}
            )
            answer = connection.getresponse()
            answer.read()
            return answer.status
        finally:
            connection.close()

    def stop(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()


class ProcessFleet:
    """One entry and one home, which are one process or two, and their store."""

    def __init__(self, directory, memory_mb, descriptors, remote):
        self.directory = directory
        subnet = random.SystemRandom().randrange(1, 250)
        hosts = [f"127.78.{subnet}.{number}" for number in (1, 2)[: 1 + remote]]
        self._stopped = threading.Event()
        self._loop = TestLoop()
        store = PlatformStore(
            self._loop.poller, self._loop.timers, self._loop.clock, ("127.0.0.1", 0)
        )
        self._store = store
        store.put("config", "main", {"version": "00000001", "resources": RESOURCES})
        self._thread = threading.Thread(target=self._run_store, daemon=True)
        self._thread.start()
        self.processes = [
            SidecarProcess(directory, host, store.address, memory_mb, descriptors)
            for host in hosts
        ]
        self.entry = self.processes[0]
        self.server = ServerStandIn(hosts[-1])

    def wait_until_served(self):
        """Wait until an ordinary request is answered with 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if self.entry.call(8081, "/safe/x") == 200 and all(
                    process.call(8082, "/") == 200 for process in self.processes
                ):
                    return
            except OSError:
                time.sleep(0.1)
            time.sleep(0.1)
        raise AssertionError("no request is answered")

    def allow_bodies(self, size):
        """Raise the limit of bodies, and wait until it is in force."""
        limits = {**RESOURCES[0], "specification": {"max-body-bytes": size}}
        resources = [limits, *RESOURCES[1:]]
        self._store.put(
            "config", "main", {"version": "00000002", "resources": resources}
        )
        deadline = time.monotonic() + START_TIMEOUT_S
        while self.entry.call(8081, "/safe/x", bytes(MAX_BODY_BYTES + 1)) != 200:
            assert time.monotonic() < deadline, "the limit is not in force"
            time.sleep(0.2)

    def stop(self):
        """End the processes, the store and the server."""
        for process in self.processes:
            process.stop()
        self.server.close()
        self._stopped.set()
        self._thread.join()

    def _run_store(self):
        while not self._stopped.is_set():
            self._loop.turn(0.02)
            time.sleep(STORE_PAUSE_S)


RESOURCES = [
    {
        "resource-kind": "limits",
        "metadata": {"name": "callers"},
        "specification": {
            "max-body-bytes": MAX_BODY_BYTES,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
    },
    {
        "resource-kind": "services",
        "metadata": {"name": "orders"},
        "specification": {"health-path": "/health", "connection-limit": 330},
    },
    {
        "resource-kind": "routes",
        "metadata": {"name": "safe"},
        "specification": {
            "host": "x.example",
            "path-prefix": "/safe/",
            "kind": "safe",
            "timeout-s": ROUTE_TIMEOUT_S,
            "priority": 1,
            "service": "orders",
            "max-attempts": 2,
        },
    },
]
