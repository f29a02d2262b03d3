"""Find routes by host and path without a scan of all routes.

A location is a host pattern with a path prefix.
"""

from array import array
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

from flamingobank.configuration.messages import Spec
from flamingobank.configuration.packing import hash_bytes


def normalize_host(host: str) -> str:
    """Return a host in lower case and without a port."""
    host = host.lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def normalize_path(path: str) -> str:
    """Return a path without its query and trailing slashes."""
    return path.partition("?")[0].rstrip("/") or "/"


def read_location(spec: Spec) -> tuple[str, str]:
    """Return the location of a route's spec."""
    return spec.get("host", "").lower(), normalize_path(spec.get("path", "/"))


def _hash_location(host: str, path: str) -> int:
    return hash_bytes(f"{host}\x00{path}".encode())


def _count_segments(path: str) -> int:
    return 0 if path == "/" else path.count("/")


class RouteIndex:
    """Map the hashes of locations to the keys of route records."""

    def __init__(self) -> None:
        self._location_hashes = array("Q")
        self._keys = array("Q")
        # Number of routes by the segments in their path prefix. Only lengths in use are
        # searched, so that a path with many segments does not cost a search for each of
        # its prefixes.
        self._segment_counts: Counter[int] = Counter()
        self._wildcard_label_counts: Counter[int] = Counter()

    def add(self, host: str, path: str, key: int) -> None:
        """Add a route to the index."""
        location = _hash_location(host, path)
        position = self._find(location, key)
        self._location_hashes.insert(position, location)
        self._keys.insert(position, key)
        self._segment_counts[_count_segments(path)] += 1
        if host.startswith("*."):
            self._wildcard_label_counts[host.count(".")] += 1

    def remove(self, host: str, path: str, key: int) -> None:
        """Remove a route from the index."""
        position = self._find(_hash_location(host, path), key)
        del self._location_hashes[position]
        del self._keys[position]
        _decrement(self._segment_counts, _count_segments(path))
        if host.startswith("*."):
            _decrement(self._wildcard_label_counts, host.count("."))

    def find(self, host: str, path: str) -> Iterator[list[tuple[str, str, int]]]:
        """Yield groups of (host pattern, path, key), most specific group first."""
        prefixes = self._list_prefixes(path)
        for patterns in ([host], self._list_wildcards(host), [""]):
            for prefix in prefixes:
                group = [
                    (pattern, prefix, key)
                    for pattern in patterns
                    for key in self._read_keys(pattern, prefix)
                ]
                if group:
                    yield group

    def _list_prefixes(self, path: str) -> list[str]:
        """Return the whole-segment prefixes that routes may use, longest first."""
        segments = path.split("/")[1:] if path != "/" else []
        lengths = [size for size in self._segment_counts if size <= len(segments)]
        lengths.sort(reverse=True)
        return ["/" + "/".join(segments[:size]) for size in lengths]

    def _list_wildcards(self, host: str) -> list[str]:
        labels = host.split(".")
        return [
            "*." + ".".join(labels[len(labels) - size :])
            for size in self._wildcard_label_counts
            if 0 < size < len(labels)
        ]

    def _read_keys(self, host: str, path: str) -> Iterator[int]:
        location = _hash_location(host, path)
        position = bisect_left(self._location_hashes, location)
        while (
            position < len(self._location_hashes)
            and self._location_hashes[position] == location
        ):
            yield self._keys[position]
            position += 1

    def _find(self, location: int, key: int) -> int:
        position = bisect_left(self._location_hashes, location)
        while (
            position < len(self._location_hashes)
            and self._location_hashes[position] == location
        ):
            if self._keys[position] >= key:
                break
            position += 1
        return position


def _decrement(counts: Counter[int], size: int) -> None:
    counts[size] -= 1
    if counts[size] <= 0:
        del counts[size]
