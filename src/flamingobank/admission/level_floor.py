"""Guarantee starts to less urgent work."""

from flamingobank.admission.waiting_work import Placed

# A less urgent priority that has waiting work gets 1 start in 20 (5%); all less urgent
# priorities of a server together get no more than that.
STARTS_PER_FLOOR = 20
MAX_LEVELS = 256


class LevelFloor:
    """Guarantee of starts for less urgent priorities."""

    def __init__(self) -> None:
        self._starts = 0
        self._floor_start = 0
        self._last_starts: dict[int, int] = {}

    def note_start(self, priority: int, waiting: list[int]) -> None:
        """Record a start, and the priorities of the work that was waiting then."""
        self._starts += 1
        if len(self._last_starts) >= MAX_LEVELS:
            self._last_starts.clear()
        self._last_starts[priority] = self._starts
        if waiting and priority > min(waiting):
            self._floor_start = self._starts

    def arrange(self, placed: list[Placed]) -> list[Placed]:
        """Return the order of starts with the guaranteed ones in their places."""
        if not placed or placed[0].candidate.priority == placed[-1].candidate.priority:
            return placed
        pending, arranged = list(placed), []
        last_starts = dict(self._last_starts)
        floor_start = self._floor_start
        start = self._starts
        while pending:
            start += 1
            index = 0
            if start - floor_start >= STARTS_PER_FLOOR:
                index = _find_starved(pending, last_starts, start)
                if index:
                    floor_start = start
            item = pending.pop(index)
            last_starts[item.candidate.priority] = start
            arranged.append(item)
        return arranged


def _find_starved(
    pending: list[Placed], last_starts: dict[int, int], start: int
) -> int:
    """Return the index of the first work of the most starved priority, 0 if none."""
    first_priority = pending[0].candidate.priority
    found, found_start = 0, start - STARTS_PER_FLOOR + 1
    for index, item in enumerate(pending):
        priority = item.candidate.priority
        if priority == first_priority:
            continue
        last_start = last_starts.get(priority, 0)
        if last_start < found_start:
            found, found_start = index, last_start
    return found
