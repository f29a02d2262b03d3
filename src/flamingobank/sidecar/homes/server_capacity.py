"""Count the slots of the local server and keep to the rate that it takes."""

from flamingobank.balancing.concurrency import ConcurrencyLimit
from flamingobank.core import Invariant, check_invariant
from flamingobank.sidecar.decisions.offer_admission import AdmissionState
from flamingobank.sidecar.decisions.rate_limit import RateLimit
from flamingobank.sidecar.fleet.server_state import AnnouncedServer
from flamingobank.sidecar.homes.requests import HomeRequest
from flamingobank.sidecar.homes.waiting_requests import WaitingRequests

# Slots that are used before a server's first answer, which may name a rate limit. A
# restarted home does not know the limit that an earlier process was told.
SLOTS_BEFORE_ANSWER = 4


class ServerCapacity:
    """Slots in use, requests that wait for one, and the server's rate limit."""

    def __init__(self, server: AnnouncedServer) -> None:
        self.in_use = 0
        self.waiting = WaitingRequests()
        self.rate_limit = RateLimit()
        self._server = server
        self._has_answered = False
        self._last_probe_at = 0.0
        self._limit = ConcurrencyLimit(server.slots)
        # The limit binds once work is scheduled by cost.
        self._limit_binds = False

    @property
    def slots(self) -> int:
        """Return how many requests may run at the same time."""
        if self._has_answered:
            return self._server.slots
        return min(self._server.slots, SLOTS_BEFORE_ANSWER)

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the concurrency limit for the slots that the server announced."""
        self._limit.set_slots(self.slots)
        return self._limit

    @property
    def usable(self) -> int:
        """Return the slots that may be used at the same time now."""
        slots = self.slots
        return min(slots, self.limit.value) if self._limit_binds else slots

    @property
    def has_slot(self) -> bool:
        """Return whether a slot is free, whatever the rate limit says."""
        return self.in_use < self.usable

    def bind_limit(self, now: float) -> None:
        """Keep to the concurrency limit from now on."""
        self._limit_binds = True
        self._start_limit(now)

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until the server takes one more request, slots aside."""
        wait_s = self.rate_limit.compute_wait_s(now)
        if self._limit_binds:
            wait_s = max(wait_s, self._limit.compute_pause_s(now))
        return wait_s

    def reset(self, now: float) -> None:
        """Forget what a previous server stated."""
        self._has_answered = False
        self._start_limit(now)
        self.rate_limit.change(None, now)

    def _start_limit(self, now: float) -> None:
        """Start low for a server that is still warming up, and else at its slots.

        A home that has just started may be beside a server that has run for long.
        """
        self._limit = ConcurrencyLimit(self.slots)
        if now < self._server.warmed_up_at:
            self._limit.start_cold(self.slots)

    def note_answer(self, limit_per_s: float | None, now: float) -> None:
        """Apply the rate limit that the server names now; None for no limit."""
        self._has_answered = True
        self.rate_limit.change(limit_per_s, now)

    def describe(
        self,
        failure_probability: float,
        mean_duration_s: float,
        priority: int,
        now: float,
    ) -> AdmissionState:
        """Return the state by which an offer of a priority is judged."""
        return AdmissionState(
            failure_probability,
            self.in_use,
            len(self.waiting),
            self.waiting.count_ahead(priority),
            self.usable,
            mean_duration_s,
            self._last_probe_at,
            self.compute_wait_s(now),
            self.rate_limit.rate_per_s,
        )

    def list_too_late(self, now: float) -> list[HomeRequest]:
        """Return the waiting requests that the rate limit keeps from starting in time.

        A more urgent request that arrives later delays those behind it.
        """
        start_at = now + self.rate_limit.compute_wait_s(now)
        if start_at == now:
            return []
        too_late = []
        for request in self.waiting:
            if not request.offer.route and start_at > request.latest_start:
                too_late.append(request)
                continue
            start_at += 1 / self.rate_limit.rate_per_s
        return too_late

    def count_reported(self, now: float) -> int:
        """Return the slots in use for a report; all while the rate limit is reached."""
        if self.compute_wait_s(now) > 0:
            return max(self.in_use, self.slots)
        return self.in_use

    def take_slot(self, is_probe: bool, now: float) -> None:
        """Count a granted request; a probe is one that a suspect server gets."""
        self.in_use += 1
        if is_probe:
            self._last_probe_at = now
        self.rate_limit.take(now)

    def free_slot(self, was_sent: bool, now: float) -> None:
        """Free the slot of a request that ended."""
        self.in_use -= 1
        if not was_sent:
            self.rate_limit.give_back(now)
        check_invariant(Invariant.SLOTS, self.in_use >= 0, busy=self.in_use)
