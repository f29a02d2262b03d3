"""Order the requests that wait for a slot of one server."""

import itertools

from flamingobank.sidecar.homes.requests import HomeRequest


class WaitingRequests:
    """Hold waiting requests, the most urgent and then the oldest first."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._entries: list[tuple[int, int, HomeRequest]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, request: HomeRequest) -> None:
        """Add a request behind those that are at least as urgent."""
        self._entries.append((request.offer.priority, next(self._order), request))
        self._entries.sort(key=lambda entry: entry[:2])

    def remove(self, request: HomeRequest) -> None:
        """Take a request out, if it waits."""
        self._entries = [entry for entry in self._entries if entry[2] is not request]

    def pop(self) -> HomeRequest:
        """Take the first request out."""
        return self._entries.pop(0)[2]

    def pop_all(self) -> list[HomeRequest]:
        """Take every request out."""
        requests = [request for _, _, request in self._entries]
        self._entries = []
        return requests

    def count_ahead(self, priority: int) -> int:
        """Return how many requests would be served before a new one."""
        return sum(1 for entry in self._entries if entry[0] <= priority)
