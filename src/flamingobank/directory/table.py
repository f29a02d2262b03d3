"""Table of the homes of each service, built from the updates of home nodes.

The newest update of a home counts, by boot id and sequence number, not by arrival.
"""

import sys
from array import array
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgpack

from flamingobank.core import (
    FailureDomain,
    InstanceId,
    NodeId,
    ServiceName,
    hash_text,
)
from flamingobank.wire import DirectoryUpdate

Address = tuple[str, int]
# The largest count that an array of type "I" holds; no home has as many slots.
MAX_COUNT = 2**32 - 1
# The services of all stored updates, which are packed separately. One list is shared to
# save memory, and it is never modified.
_NO_SERVICES: list = []


@dataclass(slots=True)
class _Home:
    """The newest update of a home, with its services packed to save memory."""

    update: DirectoryUpdate
    address: Address
    services: bytes
    listed: bool

    def unpack_services(self) -> list:
        """Return the service rows of the update."""
        return msgpack.unpackb(self.services)


@dataclass(slots=True)
class HomeEntry:
    """One service at one home node."""

    node: NodeId
    address: Address
    failure_domain: FailureDomain
    region: str
    servers: int
    slots: int
    service: ServiceName
    _home: _Home

    @property
    def instances(self) -> tuple[str, ...]:
        """Return the announced servers; each access unpacks the services again."""
        found: tuple[str, ...] = ()
        for service, _, _, instances in self._home.unpack_services():
            if service == self.service:
                found = tuple(instances)
        return found


class _ServiceHomes:
    """The homes of one service, stored in columns."""

    __slots__ = ("homes", "servers", "slots")

    def __init__(self) -> None:
        self.homes: list[_Home] = []
        self.servers = array("I")
        self.slots = array("I")

    def put(self, home: _Home, servers: int, slots: int) -> None:
        """Add a home, or replace its counts if it is present."""
        self.remove(home)
        self.homes.append(home)
        self.servers.append(servers)
        self.slots.append(slots)

    def remove(self, home: _Home) -> None:
        """Remove a home if it is present."""
        for index, other in enumerate(self.homes):
            if other is home:
                del self.homes[index], self.servers[index], self.slots[index]
                return


class DirectoryTable:
    """The newest update of each home node, indexed by service and failure domain.

    With 46,000 servers, one object per service of a home took 28 MB of a node's 64 MB,
    so only columns and packed services are stored.
    """

    def __init__(self) -> None:
        self._homes: dict[str, _Home] = {}
        self._services: dict[ServiceName, _ServiceHomes] = {}
        # Indexed by domain, as each announcement of a server looks up the homes of its
        # failure domain.
        self._domains: dict[str, dict[str, _Home]] = {}
        self._digest = 0

    def apply(self, update: DirectoryUpdate) -> bool:
        """Apply an update if it is newer than the known one; return whether it was."""
        known = self._homes.get(update.home)
        if known is not None and not _is_newer(update, known.update):
            return False
        home = _pack_home(update)
        if known is not None:
            self._unlist(known)
            self._digest ^= _hash_update(known.update)
            del self._domains[known.update.failure_domain][update.home]
        self._homes[update.home] = home
        domain = self._domains.setdefault(update.failure_domain, {})
        domain[update.home] = home
        self._digest ^= _hash_update(update)
        if not update.leaving:
            self._list(home)
        return True

    def remove(self, home: str) -> None:
        """Stop listing a lost home until it is restored or a newer update arrives."""
        known = self._homes.get(home)
        if known is not None:
            self._unlist(known)

    def restore(self, home: str) -> None:
        """List a removed home again, as it is back in service."""
        known = self._homes.get(home)
        if known is not None and not known.listed and not known.update.leaving:
            self._list(known)

    def list_homes(self, service: ServiceName) -> list[HomeEntry]:
        """Return the listed homes of a service."""
        found = self._services.get(service)
        if found is None:
            return []
        return [
            HomeEntry(
                NodeId(home.update.home),
                home.address,
                FailureDomain(home.update.failure_domain),
                home.update.region,
                servers,
                slots,
                service,
                home,
            )
            for home, servers, slots in zip(
                found.homes, found.servers, found.slots, strict=True
            )
        ]

    def list_instances(self, service: ServiceName) -> dict[InstanceId, NodeId]:
        """Return the announced servers of a service with their homes."""
        return {
            InstanceId(instance): home.node
            for home in self.list_homes(service)
            for instance in home.instances
        }

    def list_headers(self, domain: str = "") -> list[DirectoryUpdate]:
        """Return the newest updates without services, of one domain or of all."""
        homes = self._domains.get(domain, {}) if domain else self._homes
        return [home.update for home in homes.values()]

    def compute_digest(self) -> bytes:
        """Return a digest of the known updates, which is equal for equal tables."""
        return self._digest.to_bytes(8, "big")

    def list_newer(self, summary: Mapping[str, list]) -> list[DirectoryUpdate]:
        """Return the updates that a peer with this summary lacks."""
        newer = []
        for name, home in self._homes.items():
            known = summary.get(name)
            update = home.update
            if known is None or (update.boot, update.sequence) > tuple(known):
                newer.append(_unpack_update(home))
        return newer

    def is_behind(self, summary: Mapping[str, list]) -> bool:
        """Return whether a peer with this summary knows newer updates."""
        for name, known in summary.items():
            home = self._homes.get(name)
            if home is None:
                return True
            if tuple(known) > (home.update.boot, home.update.sequence):
                return True
        return False

    def summarize(self) -> dict[str, list]:
        """Return the boot id and sequence of each home, to compare with a peer."""
        return {
            name: [home.update.boot, home.update.sequence]
            for name, home in self._homes.items()
        }

    def _list(self, home: _Home) -> None:
        home.listed = True
        for service, servers, slots, _ in home.unpack_services():
            name = ServiceName(service)
            self._services.setdefault(name, _ServiceHomes()).put(home, servers, slots)

    def _unlist(self, home: _Home) -> None:
        if not home.listed:
            return
        home.listed = False
        for service, *_ in home.unpack_services():
            found = self._services[ServiceName(service)]
            found.remove(home)
            if not found.homes:
                del self._services[ServiceName(service)]


def _pack_home(update: DirectoryUpdate) -> _Home:
    """Pack an update.

    A malformed row raises a ValueError, upon which the link refuses the update.
    """
    for service, servers, slots, instances in update.services:
        counts = (servers, slots)
        if not all(type(n) is int and 0 <= n <= MAX_COUNT for n in counts):
            raise ValueError(
                f"home {update.home}: {service}: expected counts, got {counts}"
            )
        if not isinstance(service, str) or not isinstance(instances, list):
            raise ValueError(f"home {update.home}: {service!r}: expected a service row")
    header = replace(
        update,
        failure_domain=sys.intern(update.failure_domain),
        region=sys.intern(update.region),
        services=_NO_SERVICES,
    )
    address = (update.host, update.port)
    return _Home(header, address, msgpack.packb(update.services), False)


def _unpack_update(home: _Home) -> DirectoryUpdate:
    return replace(home.update, services=home.unpack_services())


def _hash_update(update: DirectoryUpdate) -> int:
    return hash_text(f"{update.home}/{update.boot}/{update.sequence}")


def _is_newer(update: DirectoryUpdate, known: DirectoryUpdate) -> bool:
    """Return whether an update is newer, by boot id and then by sequence.

    A boot id starts with the process's start time in hexadecimal, so the updates of a
    restarted home replace those of its earlier process.
    """
    return (update.boot, update.sequence) > (known.boot, known.sequence)
