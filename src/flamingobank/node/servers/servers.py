"""State that a home node keeps for each of its servers."""

from flamingobank.balancing import ServerSlots
from flamingobank.core import BootId, FailureDomain, InstanceId, ServiceName
from flamingobank.health import DEFAULT_BASELINE, Readmission, ServerHealth
from flamingobank.loop import Address, HttpClientConnection, Poller

# No connection is attempted for this time after one failed.
CONNECT_BACKOFF_S = 0.5


class Server:
    """One server with its slots, health, readmission state and idle connections."""

    def __init__(
        self,
        instance: InstanceId,
        boot: BootId,
        address: Address,
        slots: int,
        warm: float,
        now: float,
    ) -> None:
        self.instance = instance
        self.boot = boot
        self.address = address
        self.failure_domain = FailureDomain("")
        self.labels: dict[str, str] = {}
        self.service: ServiceName | None = None
        self.slots = ServerSlots(instance, slots, now, warm)
        self.health = ServerHealth(now)
        self.readmission = Readmission(now)
        self.baseline = DEFAULT_BASELINE
        self.announced_at = now
        self.connect_failures = 0
        self.unreachable_until = 0.0
        self.ejection_reason = ""
        self._idle: list[HttpClientConnection] = []

    @property
    def draining(self) -> bool:
        """Return whether the server is draining."""
        return self.slots.draining_since is not None

    def count_usable(self, now: float) -> int:
        """Return how many slots may be in use now, counting those already in use."""
        if now < self.unreachable_until:
            return 0
        return self.slots.count_usable(now)

    def acquire_connection(self, poller: Poller) -> HttpClientConnection:
        """Return an idle connection, or open a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.idle:
                return connection
        return HttpClientConnection(poller, self.address)

    def release_connection(self, connection: HttpClientConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        if connection.idle and len(self._idle) < self.slots.limit:
            self._idle.append(connection)
            return
        connection.close()

    def close_connections(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
