"""Schedule the waiting requests of a home by what their refusal costs callers.

Nothing here acts until the first offer that names its route. Offers without a route
keep their order and rules, ahead of scheduled ones of the same priority.
"""

from flamingobank.admission.route_work import RouteWork
from flamingobank.admission.scarcity import Scarcity
from flamingobank.admission.slot_schedule import Room
from flamingobank.admission.waiting_work import Candidate
from flamingobank.core import RouteName
from flamingobank.sidecar.decisions.offer_admission import MIN_DURATION_SHARE
from flamingobank.sidecar.decisions.server_estimate import ServerEstimate
from flamingobank.sidecar.dialect import ServerFacts
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.homes.requests import HomeRequest, HomeRequestState
from flamingobank.sidecar.homes.server_capacity import ServerCapacity
from flamingobank.sidecar.homes.server_client import RunFailure
from flamingobank.sidecar.homes.server_health import DEADLINE_MARGIN_S
from flamingobank.sidecar.links.messages import Offer
from flamingobank.sidecar.metrics import SidecarMetrics

# A request may wait if this multiple of its work fits into its time, and is kept if the
# second one does. Under lasting overload the order is filled up to this margin: at 0.6,
# nine in ten answers of a flooding workspace came after their objective. The second one
# is smaller, so that a request is not admitted and then refused because an estimate
# changed a little.
NEW_WORK_MARGIN = 1.2
KEPT_WORK_MARGIN = 1.0
# A running request that exceeds its expected work is expected to take this share of the
# excess longer, and at least that share of its work.
EXCESS_SHARE = 0.5
MIN_REMAINING_SHARE = 0.1
# Weight of one offer in the usual priority.
PRIORITY_WEIGHT = 0.05


class CostScheduler:
    """Estimates, order and reports of the requests that are scheduled by cost."""

    def __init__(
        self,
        capacity: ServerCapacity,
        server_estimate: ServerEstimate,
        event_log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self.active = False
        self.route_work = RouteWork()
        self._capacity = capacity
        self._server_estimate = server_estimate
        self._event_log = event_log
        self._metrics = metrics
        self._scarcity = Scarcity()
        # Requests that hold a slot, each with the slots in use when it got its own.
        # Those from before the first scheduled offer are missing.
        self._holders: dict[HomeRequest, int] = {}
        self._usual_priority = 0.0

    def note_offer(self, offer: Offer, now: float) -> None:
        """Note a scheduled offer; the first one starts the scheduling."""
        if not self.active:
            self.active = True
            self._usual_priority = float(offer.priority)
            self._capacity.bind_limit(now)
        error = offer.priority - self._usual_priority
        self._usual_priority += PRIORITY_WEIGHT * error

    def estimate_work(self, offer: Offer, now: float) -> float:
        """Return the expected duration of an offered request at this server."""
        return self.route_work.estimate(
            RouteName(offer.route),
            offer.expected_s,
            self._server_estimate.mean_duration_s,
            now,
        )

    def review(self, now: float, arrival: HomeRequest | None = None) -> list:
        """Return the waiting requests that are to be refused, and maybe the arrival."""
        candidates = [
            self._describe(request, now, KEPT_WORK_MARGIN)
            for request in self._capacity.waiting
        ]
        if arrival is not None:
            candidates.append(self._describe(arrival, now, NEW_WORK_MARGIN))
        if not candidates:
            return []
        refused = self._scarcity.choose_refused(candidates, self._find_room(now), now)
        return [candidate.owner for candidate in refused]

    def pop_next(self, now: float) -> HomeRequest:
        """Remove and return the waiting request that gets the next slot."""
        waiting = self._capacity.waiting
        if len(waiting) == 1:
            return waiting.pop()
        candidates = [
            self._describe(request, now, KEPT_WORK_MARGIN) for request in waiting
        ]
        order = self._scarcity.list_order(candidates, self._capacity.usable, now)
        request = order[0].candidate.owner
        waiting.remove(request)
        return request

    def is_too_late(self, request: HomeRequest, now: float) -> bool:
        """Return whether a request that starts now would miss its deadline."""
        needed_s = MIN_DURATION_SHARE * self.estimate_work(request.offer, now)
        return now + needed_s > request.deadline

    def note_grant(self, request: HomeRequest, now: float) -> None:
        """Record that a request gets a slot."""
        if not self.active:
            return
        self._holders[request] = self._capacity.in_use
        candidate = self._describe(request, now, KEPT_WORK_MARGIN)
        waiting = [other.offer.priority for other in self._capacity.waiting]
        self._scarcity.note_start(candidate, waiting, now)

    def note_end(self, request: HomeRequest) -> None:
        """Record that a request gives up its slot."""
        self._holders.pop(request, None)

    def note_answer(self, request: HomeRequest, status: int, now: float) -> None:
        """Record a complete answer; must be called before the slot is freed."""
        if not self.active:
            return
        self._capacity.limit.note_answered(
            self._capacity.in_use, self._holders.get(request, 1), now
        )
        offer = request.offer
        if status < 500 and offer.route:
            took_s = now - request.state_since
            self.route_work.observe(
                RouteName(offer.route), offer.expected_s, took_s, now
            )

    def note_rejection(
        self, request: HomeRequest, failure: RunFailure, now: float
    ) -> None:
        """Record a failure; must be called before the slot is freed."""
        is_late = request.deadline - now <= DEADLINE_MARGIN_S
        if not self.active or not failure.rejected or is_late:
            return
        limit = self._capacity.limit
        before = limit.value
        limit.note_rejected(
            request.state_since,
            self._capacity.in_use,
            self._server_estimate.mean_duration_s,
            now,
        )
        if limit.value != before:
            self._event_log.event(
                "home:limit",
                limit=limit.value,
                before=before,
                shedding=round(limit.measure_shedding(now), 2),
            )

    def note_load(self, request: HomeRequest, facts: ServerFacts, now: float) -> None:
        """Apply the load that the server states in an answer."""
        if not self.active:
            return
        self._capacity.limit.note_load(
            facts.running,
            facts.waiting,
            self._capacity.in_use,
            request.state_since,
            self._server_estimate.mean_duration_s,
            now,
        )

    def describe_report(self, now: float) -> tuple[int, float, float, float]:
        """Return limit, backlog, pace and shedding for a report."""
        if not self.active:
            return (0, 0.0, 1.0, 0.0)
        return (
            self._capacity.usable,
            round(self._estimate_backlog(now), 2),
            round(self.route_work.pace, 2),
            round(self._capacity.limit.measure_shedding(now), 2),
        )

    def note_refused(self, offer: Offer, reason: str) -> None:
        """Count an offer that was refused."""
        self._metrics.count_scheduled_refusal(reason, offer.route, offer.priority)

    def note_displaced(self, request: HomeRequest, reason: str, now: float) -> None:
        """Count and log a request that was refused while it waited."""
        offer = request.offer
        self._metrics.count_scheduled_refusal(reason, offer.route, offer.priority)
        self._event_log.event(
            "home:waiting-refused",
            reason=reason,
            peer=request.channel.peer_boot,
            stream=offer.stream,
            route=offer.route,
            workspace=offer.workspace,
            priority=offer.priority,
            waited_ms=round((now - request.state_since) * 1000, 1),
            left_ms=round((request.deadline - now) * 1000, 1),
            waiting=len(self._capacity.waiting),
            limit=self._capacity.usable,
        )

    def update_metrics(self, now: float) -> None:
        """Set the gauges of the limit, of shedding and of the waiting requests."""
        waiting: dict[int, int] = {}
        for request in self._capacity.waiting:
            priority = request.offer.priority
            waiting[priority] = waiting.get(priority, 0) + 1
        self._metrics.set_scheduling(
            self._capacity.usable,
            round(self._capacity.limit.measure_shedding(now), 3),
            waiting,
        )

    def _describe(self, request: HomeRequest, now: float, margin: float) -> Candidate:
        offer = request.offer
        work_s = self.estimate_work(offer, now)
        return Candidate(
            request,
            offer.priority,
            offer.internal,
            offer.workspace or offer.route,
            offer.idempotent,
            work_s,
            margin * work_s,
            request.objective_at,
            request.deadline,
            request.sequence,
            not offer.route,
        )

    def _find_room(self, now: float) -> Room:
        """Return when each usable slot is expected to become free."""
        free_at = []
        for request in self._holders:
            work_s = self.estimate_work(request.offer, now)
            remaining_s = work_s
            if request.state is HomeRequestState.RUNNING:
                remaining_s -= now - request.state_since
                if remaining_s < 0:
                    remaining_s *= -EXCESS_SHARE
                remaining_s = max(remaining_s, MIN_REMAINING_SHARE * work_s)
            done_at = now + remaining_s
            free_at.append(done_at)
        unknown = self._capacity.in_use - len(free_at)
        if unknown > 0:
            half_s = self._server_estimate.mean_duration_s / 2
            free_at.extend([now + half_s] * unknown)
        free_at.sort()
        # A server may announce no slots for a time.
        usable = max(1, self._capacity.usable)
        # The slots of requests beyond the limit are not used again.
        free_at = free_at[max(0, len(free_at) - usable) :]
        free_at = [now] * (usable - len(free_at)) + free_at
        return Room(
            tuple(free_at),
            now + self._capacity.compute_wait_s(now),
            self._capacity.rate_limit.rate_per_s,
        )

    def _estimate_backlog(self, now: float) -> float:
        """Return the expected wait of a new request of the usual priority."""
        room = self._find_room(now)
        ahead_s = 0.0
        for request in self._capacity.waiting:
            if request.offer.priority <= self._usual_priority + 0.5:
                ahead_s += self.estimate_work(request.offer, now)
        first_s = max(room.free_at[0] - now, room.opens_at - now)
        return first_s + ahead_s / len(room.free_at)
