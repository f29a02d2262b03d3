"""Run one sidecar process with its application server and its link proxy."""

import os
import random
import signal
import subprocess
import sys
from pathlib import Path

from flamingobank.core import read_wall_ms
from flamingobank.loop import Address, HttpClientConnection
from flamingobank_standins.platform.server import PlatformServer
from tools.soak.loop import SoakLoop
from tools.soak.process import CLOCK_FILE_VARIABLE, PORT_OFFSET
from tools.soak.proxy import LinkProxy

PEERS_PORT = 7380
# Memory of each machine, in megabytes.
MEMORY_MB = 100
SETTINGS = """
[self]
node-name = "{name}"
ip = "{host}"
zone = "{zone}"
application = "{host}:8080"
service = "orders"
[self.limits]
memory-mb = {memory_mb}
[network]
internal-ports = [{port},{last}]
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
budget-ratio = 0.2
budget-window-s = 10
budget-extra-tries = 200
strict-revocation = true
revoke-s = 5
"""


class Machine:
    """A sidecar process with its application server and its link proxy."""

    def __init__(
        self,
        loop: SoakLoop,
        rng: random.Random,
        store: Address,
        directory: Path,
        host: str,
        number: int,
    ) -> None:
        self.name = f"m{number}"
        self.host = host
        self.process: subprocess.Popen | None = None
        # The time and number of each signal that was sent to a running process.
        self.signals: list[tuple[float, signal.Signals]] = []
        # The largest resident memory of its processes that was seen, in megabytes.
        self.peak_mb = 0.0
        self._log_file = directory / f"{self.name}.log"
        settings = directory / f"{self.name}.toml"
        store_host, store_port = store
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=f"z{number % 3}",
                memory_mb=MEMORY_MB,
                port=PEERS_PORT,
                last=PEERS_PORT + 15,
                store=f"{store_host}:{store_port}",
            )
        )
        self._clock_file = directory / f"{self.name}.clock"
        self._clock = loop.clock
        # Offset of the time of day, for the process and its server.
        self.clock_offset_s = 0.0
        self.clock_moved_at = 0.0
        self.move_clock(0.0)
        self._environment = {
            **os.environ,
            "FLAMINGOBANK_CONFIG": str(settings),
            CLOCK_FILE_VARIABLE: str(self._clock_file),
        }
        self.proxy = LinkProxy(
            loop.poller,
            loop.timers,
            loop.clock,
            rng,
            (self.host, PEERS_PORT),
            (self.host, PEERS_PORT + PORT_OFFSET),
        )
        # Connections that callers keep open, each for one request at a time.
        self.kept_connections: list[HttpClientConnection] = []
        self.server = PlatformServer(
            loop.poller,
            loop.timers,
            loop.clock,
            rng,
            "orders",
            (self.host, 8080),
            (self.host, 8083),
            self._read_wall_ms,
        )

    def read_cpu_s(self) -> float:
        """Return the CPU time of the process in seconds, user and system."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        # The process name in parentheses may contain spaces.
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def note_memory(self) -> None:
        """Note the largest resident memory that the process has had."""
        if self.process is None or self.process.poll() is not None:
            return
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            # A process that is ending has no such line.
            if line.startswith("VmHWM:"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) * 1024 / 1e6)

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tools.soak.process"],
                env=self._environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.signals.append((self._clock.now(), signal.Signals(signal_number)))
            self.process.send_signal(signal_number)

    def _read_wall_ms(self) -> int:
        return read_wall_ms() + round(1000 * self.clock_offset_s)

    def move_clock(self, seconds: float) -> None:
        """Set the offset of the machine's time of day in seconds."""
        self.clock_offset_s = seconds
        self.clock_moved_at = self._clock.now()
        # The file is replaced atomically, since the process may read it at any moment.
        new_file = self._clock_file.with_suffix(".new")
        new_file.write_text(str(seconds))
        new_file.replace(self._clock_file)

    def kill_and_wait(self) -> None:
        """Kill the process, also when it is suspended, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
