"""Keep which home nodes serve which service, by sequence and never by arrival."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from flamingobank.core import (
    FailureDomain,
    InstanceId,
    NodeId,
    ServiceName,
    hash_text,
)
from flamingobank.wire import DirectoryUpdate

Address = tuple[str, int]


@dataclass(slots=True)
class HomeEntry:
    """Describe one service at one home node."""

    node: NodeId
    address: Address
    failure_domain: FailureDomain
    region: str
    servers: int
    slots: int
    instances: tuple[str, ...]


class DirectoryTable:
    """Apply updates of home nodes and list the homes of a service."""

    def __init__(self) -> None:
        self._updates: dict[str, DirectoryUpdate] = {}
        self._homes: dict[ServiceName, dict[NodeId, HomeEntry]] = {}

    def apply(self, update: DirectoryUpdate) -> bool:
        """Apply an update unless a newer one is known; return whether it was new."""
        known = self._updates.get(update.home)
        if known is not None and not _is_newer(update, known):
            return False
        self._remove_entries(update.home)
        self._updates[update.home] = update
        if update.leaving:
            return True
        node = NodeId(update.home)
        for service, servers, slots, instances in update.services:
            entry = HomeEntry(
                node,
                (update.host, update.port),
                FailureDomain(update.failure_domain),
                update.region,
                servers,
                slots,
                tuple(instances),
            )
            self._homes.setdefault(ServiceName(service), {})[node] = entry
        return True

    def remove(self, home: str) -> None:
        """Forget the services of a lost home; its next update is applied."""
        self._remove_entries(home)

    def restore(self, home: str) -> None:
        """List a home's services again after it has been heard from."""
        update = self._updates.pop(home, None)
        if update is not None:
            self.apply(update)

    def list_homes(self, service: ServiceName) -> list[HomeEntry]:
        """Return the homes of a service."""
        homes = self._homes.get(service)
        return list(homes.values()) if homes else []

    def list_instances(self, service: ServiceName) -> dict[InstanceId, NodeId]:
        """Return the announced servers of a service with their homes."""
        return {
            InstanceId(instance): home.node
            for home in self.list_homes(service)
            for instance in home.instances
        }

    def get_update(self, home: str) -> DirectoryUpdate | None:
        """Return the newest update of a home."""
        return self._updates.get(home)

    def list_updates(self) -> Iterator[DirectoryUpdate]:
        """Return the newest update of each home."""
        return iter(list(self._updates.values()))

    def compute_digest(self) -> bytes:
        """Return a digest of what this table knows; equal tables have equal ones."""
        digest = 0
        for home, update in self._updates.items():
            digest ^= hash_text(f"{home}/{update.boot}/{update.sequence}")
        return digest.to_bytes(8, "big")

    def list_newer(self, summary: Mapping[str, list]) -> list[DirectoryUpdate]:
        """Return the updates that a peer with this summary lacks."""
        newer = []
        for home, update in self._updates.items():
            known = summary.get(home)
            if known is None or (update.boot, update.sequence) > tuple(known):
                newer.append(update)
        return newer

    def lacks(self, summary: Mapping[str, list]) -> bool:
        """Tell whether a peer with this summary knows something newer."""
        for home, known in summary.items():
            update = self._updates.get(home)
            if update is None or tuple(known) > (update.boot, update.sequence):
                return True
        return False

    def summarize(self) -> dict[str, list]:
        """Return boot and sequence of each home, for comparison with a peer."""
        return {
            home: [update.boot, update.sequence]
            for home, update in self._updates.items()
        }

    def _remove_entries(self, home: str) -> None:
        node = NodeId(home)
        for homes in self._homes.values():
            homes.pop(node, None)


def _is_newer(update: DirectoryUpdate, known: DirectoryUpdate) -> bool:
    """Compare boots by their start time and then sequences.

    A boot id starts with the process's start time in hexadecimal, so that a
    restarted home wins over its earlier process.
    """
    return (update.boot, update.sequence) > (known.boot, known.sequence)
