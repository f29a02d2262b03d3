"""Keep the newest announcement of the local server.

A server announces itself to the home on its machine. Announcements may arrive late,
twice or from an earlier start; the latest start and the highest sequence number win.

A notice that a server leaves holds whether or not the home knows the server. It binds
the start that it names and all earlier ones of that instance. A notice that names no
start binds the starts up to its arrival, so a server that starts again gets work. The
server and its home are on one machine and read the same wall clock.
"""

import enum
from dataclasses import dataclass

from flamingobank.core import InstanceId, ServiceName
from flamingobank.loop import Address

DEFAULT_SLOTS = 4
# A late announcement comes from one of the last servers of the machine.
MAX_KNOWN_DEPARTURES = 64


class Lifecycle(enum.Enum):
    """Lifecycle state that a server announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """A valid announcement of a server."""

    instance: InstanceId
    # Unix milliseconds of the server's start.
    started_ms: int
    sequence: int
    service: ServiceName
    address: Address
    version: str
    slots: int
    lifecycle: Lifecycle
    warmup_remaining_s: float


@dataclass(frozen=True, slots=True)
class Departure:
    """A server's notice that it leaves."""

    instance: InstanceId
    # None if the notice does not say which start of the server it is about.
    started_ms: int | None


class AnnouncedServer:
    """Keep the newest announcement and decide whether the server may get work."""

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.announced_at = 0.0
        self.warmed_up_at = 0.0
        # The latest start of each departed instance that its notices bind.
        self._departed: dict[InstanceId, int] = {}

    @property
    def slots(self) -> int:
        """Return how many requests the server can run at the same time."""
        return self.current.slots if self.current is not None else DEFAULT_SLOTS

    @property
    def accepts_work(self) -> bool:
        """Return whether new requests may be sent to the server."""
        current = self.current
        return (
            current is not None
            and current.lifecycle is Lifecycle.READY
            and not self.has_departed(current.instance, current.started_ms)
        )

    def has_departed(self, instance: InstanceId, started_ms: int) -> bool:
        """Return whether a notice of leaving binds a start of an instance."""
        return started_ms <= self._departed.get(instance, -1)

    def take(self, announcement: Announcement, now: float, wall_ms: int) -> bool:
        """Apply an announcement that arrived at the wall-clock time `wall_ms`.

        Returns whether the server, its start or whether it accepts work changed.
        """
        current = self.current
        key = (announcement.instance, announcement.started_ms)
        if announcement.lifecycle is not Lifecycle.READY:
            self._bind(*key)
        elif announcement.started_ms > wall_ms and key[0] in self._departed:
            # The clock was set back, so this start may be older than the notice. A
            # server that has started again goes on announcing itself.
            return False
        if current is not None:
            if announcement.started_ms < current.started_ms:
                return False
            same = key == (current.instance, current.started_ms)
            if same and announcement.sequence <= current.sequence:
                return False
        before = self.accepts_work
        self.current = announcement
        self.announced_at = now
        self.warmed_up_at = now + announcement.warmup_remaining_s
        changed = current is None or key != (current.instance, current.started_ms)
        return changed or before != self.accepts_work

    def take_departure(self, departure: Departure, wall_ms: int) -> bool:
        """Stop sending work to a server that leaves, known or not.

        `wall_ms` is the wall-clock time of the notice. Returns whether the home sent
        work to the server before.
        """
        instance, started_ms = departure.instance, departure.started_ms
        current = self.current
        before = self.accepts_work
        if started_ms is None:
            started_ms = wall_ms
            if current is not None and current.instance == instance:
                started_ms = max(started_ms, current.started_ms)
        self._bind(instance, started_ms)
        return before and not self.accepts_work

    def recall_departures(self, departures: set[tuple[InstanceId, int]]) -> None:
        """Add the departures that an earlier process acknowledged."""
        for instance, started_ms in departures:
            self._bind(instance, started_ms)

    def _bind(self, instance: InstanceId, started_ms: int) -> None:
        """Bind an instance's starts up to one to a notice that it leaves."""
        self._departed[instance] = max(started_ms, self._departed.get(instance, -1))
        while len(self._departed) > MAX_KNOWN_DEPARTURES:
            del self._departed[min(self._departed, key=self._departed.__getitem__)]

    def list_latest_departures(self, count: int) -> tuple[tuple[InstanceId, int], ...]:
        """Return the last departed instances, each with its latest start that is bound.

        Older ones are left out: a machine has one server at a time, so a late message
        is most likely one of the latest servers.
        """
        by_start = sorted(self._departed.items(), key=lambda departure: departure[::-1])
        return tuple(by_start[-count:])
