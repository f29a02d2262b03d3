"""Limit the requests at one server to what it takes at once.

The limit grows additively and shrinks multiplicatively. It is learned from the requests
that the server rejected and answered, and from the load that it states.
"""

from collections import deque

# Factor of the limit after a rejection. With an increase by one a round, a server that
# rejects requests regardless of its load keeps most of its slots.
DECREASE_FACTOR = 0.75
# Towards the number of requests with which the server last rejected one, the limit
# grows by this share of one a round. At full speed, a server that took 2 of its 4 slots
# rejected half as many requests as it ran.
PROBE_SHARE = 0.33
# A rejection does not come from the number of requests if the server has answered one,
# within this time, that it got with at least as many others.
PROOF_TTL_S = 1.0
# Share of the announced slots that a newly started server gets at first.
COLD_SHARE = 0.5
# A rejection of the only request at the server is followed by no completion that would
# time the next one. It is then sent after this share of a round, which doubles with
# each such rejection in a row: a server that rejects everything at once would seem to
# be idle and draw work.
PAUSE_ROUNDS = 0.1
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
MAX_PAUSE_DOUBLINGS = 8
SHEDDING_WINDOW_S = 2.0
# A share of fewer arrivals than these would report a single rejection as total.
MIN_ARRIVALS = 3
MAX_ARRIVALS = 512


class ConcurrencyLimit:
    """Number of requests that one server takes at once now."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(max(1, slots))
        self._hidden = 0
        # Requests that the server held when it last rejected one; no more are sent
        # until it completes one.
        self._full_at: int | None = None
        # Requests at the server with which it last rejected one.
        self._ceiling: int | None = None
        # Most requests with which it took one lately, and when that was answered.
        self._proven = 0
        self._proven_at = float("-inf")
        self._decreased_at = float("-inf")
        self._opens_at = float("-inf")
        self._rejected_in_row = 0
        # The time of each recent arrival at the server, and whether it was rejected.
        self._arrivals: deque[tuple[float, bool]] = deque(maxlen=MAX_ARRIVALS)

    @property
    def value(self) -> int:
        """Return the limit, at least 1 and at most the announced slots."""
        value = min(int(self._limit), self._slots - self._hidden)
        if self._full_at is not None:
            value = min(value, self._full_at)
        return max(1, value)

    def set_slots(self, slots: int) -> None:
        """Apply the number of slots that the server announced."""
        if slots == self._slots:
            return
        # A limit that was not reduced follows the announcement.
        unreduced = self._limit >= self._slots
        self._slots = slots
        if unreduced or self._limit > slots:
            self._limit = float(max(1, slots))

    def start_cold(self, slots: int) -> None:
        """Start low for a new server, which is slow at first."""
        self._slots = slots
        self._limit = max(1.0, slots * COLD_SHARE)
        self._hidden = 0
        self._full_at = None
        self._ceiling = None
        self._proven = 0
        self._decreased_at = float("-inf")
        self._opens_at = float("-inf")
        self._rejected_in_row = 0
        self._arrivals.clear()

    def compute_pause_s(self, now: float) -> float:
        """Return the seconds until the next request may be sent, 0 for now."""
        return max(0.0, self._opens_at - now)

    def note_rejected(
        self, sent_at: float, in_use: int, round_s: float, now: float
    ) -> None:
        """Record a request that the server rejected; `in_use` includes it."""
        self._arrivals.append((now, True))
        if in_use > self._proven or now > self._proven_at + PROOF_TTL_S:
            self._full_at = in_use - 1
            self._ceiling = in_use
        if in_use <= 1:
            pause_s = PAUSE_ROUNDS * round_s * 2**self._rejected_in_row
            self._opens_at = now + min(max(pause_s, MIN_PAUSE_S), MAX_PAUSE_S)
            self._rejected_in_row = min(self._rejected_in_row + 1, MAX_PAUSE_DOUBLINGS)
        self._decrease(sent_at, round_s, now)

    def note_answered(self, in_use: int, in_use_at_start: int, now: float) -> None:
        """Record a request that the server ran; both numbers include it."""
        self._arrivals.append((now, False))
        self._rejected_in_row = 0
        self._full_at = None
        if in_use_at_start >= self._proven or now > self._proven_at + PROOF_TTL_S:
            self._proven = in_use_at_start
            self._proven_at = now
        if in_use < self.value:
            return
        step = 1 / self._limit
        if self._ceiling is not None:
            if in_use >= self._ceiling:
                self._ceiling = None
            elif self.value >= self._ceiling - 1:
                step *= PROBE_SHARE
        self._limit = min(float(self._slots), self._limit + step)

    def note_load(
        self,
        running: int | None,
        waiting: int | None,
        in_use: int,
        sent_at: float,
        round_s: float,
        now: float,
    ) -> None:
        """Apply the load that the server states in an answer.

        Work that it runs beyond what was sent keeps its slots: abandoned requests, for
        example, which a server may finish.
        """
        if running is not None:
            self._hidden = max(0, running - in_use)
        if waiting:
            self._decrease(sent_at, round_s, now)

    def measure_shedding(self, now: float) -> float:
        """Return the share of the recent arrivals that the server rejected."""
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < now - SHEDDING_WINDOW_S:
            arrivals.popleft()
        if not arrivals:
            return 0.0
        rejected = sum(1 for _, was_rejected in arrivals if was_rejected)
        return rejected / max(len(arrivals), MIN_ARRIVALS)

    def _decrease(self, sent_at: float, round_s: float, now: float) -> None:
        """Reduce the limit at most once per round of work.

        A request that was sent before the last decrease says nothing about the limit
        since then.
        """
        if sent_at < self._decreased_at or now < self._decreased_at + round_s:
            return
        self._decreased_at = now
        self._limit = max(1.0, min(self._limit, self._slots) * DECREASE_FACTOR)
