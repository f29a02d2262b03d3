"""Count the slots of the local server and keep to the rate that it takes."""

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

    @property
    def slots(self) -> int:
        """Return how many requests may run at the same time."""
        if self._has_answered:
            return self._server.slots
        return min(self._server.slots, SLOTS_BEFORE_ANSWER)

    @property
    def has_slot(self) -> bool:
        """Return whether a slot is free, whatever the rate limit says."""
        return self.in_use < self.slots

    def reset(self, now: float) -> None:
        """Forget what a previous server stated."""
        self._has_answered = False
        self.rate_limit.change(None, now)

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
            self.slots,
            mean_duration_s,
            self._last_probe_at,
            self.rate_limit.compute_wait_s(now),
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
            if start_at > request.latest_start:
                too_late.append(request)
                continue
            start_at += 1 / self.rate_limit.rate_per_s
        return too_late

    def count_reported(self, now: float) -> int:
        """Return the slots in use for a report; all while the rate limit is reached."""
        if self.rate_limit.compute_wait_s(now) > 0:
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
