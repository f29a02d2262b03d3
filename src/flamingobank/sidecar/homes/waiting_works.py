"""Order the requests that wait for a slot of one server."""

import itertools

from flamingobank.sidecar.homes.works import Work


class WaitingWorks:
    """Hold waiting requests, the most urgent and then the oldest first."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._entries: list[tuple[int, int, Work]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, work: Work) -> None:
        """Add a request behind those that are at least as urgent."""
        self._entries.append((work.offer.priority, next(self._order), work))
        self._entries.sort(key=lambda entry: entry[:2])

    def remove(self, work: Work) -> None:
        """Take a request out, if it waits."""
        self._entries = [entry for entry in self._entries if entry[2] is not work]

    def pop(self) -> Work:
        """Take the first request out."""
        return self._entries.pop(0)[2]

    def pop_all(self) -> list[Work]:
        """Take every request out."""
        works = [work for _, _, work in self._entries]
        self._entries = []
        return works

    def count_before(self, priority: int) -> int:
        """Return how many requests would be served before a new one."""
        return sum(1 for entry in self._entries if entry[0] <= priority)
