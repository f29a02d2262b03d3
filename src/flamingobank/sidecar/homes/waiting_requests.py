"""Priority queue of the requests that wait for a slot of one server."""

from collections.abc import Iterator

from flamingobank.sidecar.homes.requests import HomeRequest


class WaitingRequests:
    """Waiting requests by priority, oldest first within a priority."""

    def __init__(self) -> None:
        # Position in the order of arrival of the next request.
        self.next_sequence = 0
        self._entries: list[tuple[int, int, HomeRequest]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[HomeRequest]:
        """Yield the requests in the order in which they are served."""
        return iter([request for _, _, request in self._entries])

    def add(self, request: HomeRequest) -> None:
        """Add a request behind all with the same or a more urgent priority."""
        request.sequence = self.next_sequence
        self.next_sequence += 1
        self._entries.append((request.offer.priority, request.sequence, request))
        self._entries.sort(key=lambda entry: entry[:2])

    def remove(self, request: HomeRequest) -> None:
        """Remove a request if it is waiting."""
        self._entries = [entry for entry in self._entries if entry[2] is not request]

    def pop(self) -> HomeRequest:
        """Remove and return the first request."""
        return self._entries.pop(0)[2]

    def pop_all(self) -> list[HomeRequest]:
        """Remove and return all requests."""
        requests = [request for _, _, request in self._entries]
        self._entries = []
        return requests

    def count_ahead(self, priority: int) -> int:
        """Return how many requests would be served before a new one of a priority."""
        return sum(1 for entry in self._entries if entry[0] <= priority)
