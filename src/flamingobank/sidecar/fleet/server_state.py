"""Keep the newest announcement of the local server.

A server announces itself to the home on its machine. Announcements may arrive late,
twice or from an earlier start; the latest start and the highest sequence number win.
Once the home has acknowledged that a server leaves, the server gets no more work until
it starts again.
"""

import enum
from dataclasses import dataclass

from flamingobank.core import InstanceId, ServiceName
from flamingobank.loop import Address

DEFAULT_SLOTS = 4


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
        self._departed: set[tuple[InstanceId, int]] = set()

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
            and (current.instance, current.started_ms) not in self._departed
        )

    def take(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement.

        Returns whether the server, its start or whether it accepts work changed.
        """
        current = self.current
        key = (announcement.instance, announcement.started_ms)
        if announcement.lifecycle is not Lifecycle.READY:
            self._departed.add(key)
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

    def take_departure(self, departure: Departure) -> bool:
        """Stop sending work to a server; return whether it accepted work before."""
        instance, started_ms = departure.instance, departure.started_ms
        current = self.current
        if current is None or current.instance != instance:
            if started_ms is not None:
                self._departed.add((instance, started_ms))
            return False
        if started_ms is not None and started_ms != current.started_ms:
            self._departed.add((instance, started_ms))
            return False
        before = self.accepts_work
        self._departed.add((instance, current.started_ms))
        return before

    def recall_departures(self, departures: set[tuple[InstanceId, int]]) -> None:
        """Add the departures that an earlier process acknowledged."""
        self._departed |= departures

    def list_latest_departures(self, count: int) -> tuple[tuple[InstanceId, int], ...]:
        """Return instance and start of the servers that started last, oldest first.

        Older ones are left out: a machine has one server at a time, so a late message
        is most likely one of the latest servers.
        """
        by_start = sorted(self._departed, key=lambda departure: departure[::-1])
        return tuple(by_start[-count:])
