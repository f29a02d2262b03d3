"""Eject servers only while enough other servers are promised to stay in service."""

import math

from flamingobank.core import (
    InstanceId,
    Invariant,
    NodeId,
    ServiceName,
    check_invariant,
)
from flamingobank.health.evidence import ServerSummary
from flamingobank.health.floor_leases import EjectionLeases
from flamingobank.health.floor_messages import (
    DenialReason,
    EjectionDecision,
    EjectionState,
    FloorDenial,
    FloorGrant,
    FloorMessage,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
)
from flamingobank.health.floor_promises import GrantedPromises
from flamingobank.health.floor_records import CALL_GAP_MAX_S, Ejection, ServiceView
from flamingobank.objects import Floor

_NO_EJECTION = EjectionDecision(EjectionState.NONE)
_COVERED_STATES = (EjectionState.EJECTED, EjectionState.PROMISED, EjectionState.QUIET)


class FloorLedger:
    """Floor leases of one node, for the servers whose home it is.

    The node requests leases from other homes before it ejects a server, and grants
    leases to them as promises that its own servers stay in service.
    """

    def __init__(self, node_id: NodeId, epoch: int, now: float) -> None:
        self._last_call_at = now
        self._promises = GrantedPromises(now)
        self._leases = EjectionLeases(node_id, epoch)

    def set_service(
        self, service: ServiceName, floor: Floor, servers: dict[InstanceId, NodeId]
    ) -> None:
        """Set a service's announced servers, with their homes, and its floor.

        The floor is the minimum of servers that ejection must leave in service.
        """
        self._leases.services[service] = ServiceView(floor, dict(servers))

    def announce(self, service: ServiceName, instance: InstanceId, now: float) -> None:
        """Record a server's announcement; promises require a recent one."""
        self._check_clock(now)
        self._promises.announce(service, instance, now)

    def remove(self, instance: InstanceId, now: float) -> list[FloorMessage]:
        """Remove a server that is gone or has moved to another home."""
        self._promises.remove(instance)
        return self.cancel(instance, now)

    def set_in_service(
        self, instance: InstanceId, in_service: bool, now: float
    ) -> list[FloorMessage]:
        """Record a drain, a crash or a return to service.

        If the server leaves service, the result includes revocations for the holders
        of promises about it.
        """
        self._check_clock(now)
        local = self._promises.find(instance)
        if local is None:
            return []
        local.in_service = in_service
        if in_service:
            return []
        return self._promises.list_revocations(instance) + self.cancel(instance, now)

    def request_leases(
        self,
        service: ServiceName,
        instance: InstanceId,
        score: float,
        now: float,
        summary: ServerSummary | None = None,
    ) -> list[FloorRequest]:
        """Start or update an ejection; return requests to the other servers' homes.

        The result is empty if the node is not the server's home, the floor allows no
        ejection, or the previous requests were sent too recently.
        """
        self._check_clock(now)
        local = self._promises.find(instance)
        if local is None or local.service != service or not local.in_service:
            return []
        if service not in self._leases.services or math.isnan(score):
            return []
        ejection = self._leases.ejections.get(instance)
        if ejection is None:
            ejection = Ejection(service, score, summary or ServerSummary())
            self._leases.ejections[instance] = ejection
        if not ejection.outlier_confirmed:
            ejection.score = score
            ejection.summary = summary or ejection.summary
        return self._request_missing(instance, now)

    def answer(
        self, request: FloorRequest, now: float, summary: ServerSummary | None = None
    ) -> FloorGrant | FloorDenial:
        """Grant a request by promising that its target stays in service, or deny it."""
        self._check_clock(now)
        summary = summary or ServerSummary()
        reason = self._find_denial_reason(request, now)
        if reason is not None:
            return FloorDenial(request, reason, request.holder, summary)
        ejection = self._leases.ejections.get(request.target)
        check_invariant(
            Invariant.FLOOR,
            ejection is None or not ejection.ejected,
            granted_for=request.target,
            requester=request.instance,
        )
        self._promises.promise(request, now)
        view = self._leases.services.get(request.service)
        return FloorGrant(
            request,
            0.0 if ejection is None else ejection.score,
            0 if view is None else len(view.servers),
            ejection is not None,
            request.holder,
            summary,
        )

    def accept(self, grant: FloorGrant, now: float) -> EjectionDecision:
        """Store a granted lease and return the resulting state of the ejection."""
        self._check_clock(now)
        instance = grant.request.instance
        sent_at = self._leases.pop_request(grant.request, grant.summary)
        if sent_at is None:
            return self.decide(instance, now)
        self._leases.store_grant(grant, sent_at)
        self._expire(now)
        decision = self.decide(instance, now)
        outlier_confirmed = self._leases.ejections[instance].outlier_confirmed
        if outlier_confirmed and decision.state is EjectionState.COVERED:
            return self.eject(instance, now)
        if decision.state in _COVERED_STATES:
            return self._drop_surplus(instance, decision)
        return decision

    def decline(self, denial: FloorDenial, now: float) -> EjectionDecision:
        """Process a denial; a lease already held lasts until its deadline."""
        self._check_clock(now)
        request = denial.request
        if self._leases.pop_request(request, denial.summary) is not None:
            self._leases.ejections[request.instance].mark_for_replacement(
                request.target
            )
        return self.decide(request.instance, now)

    def release(self, release: FloorRelease, now: float) -> None:
        """End a promise that its holder has released."""
        self._check_clock(now)
        self._promises.release(release)

    def revoke(self, revocation: FloorRevocation, now: float) -> EjectionDecision:
        """Drop a lease on a server that has crashed or is draining."""
        self._check_clock(now)
        self._leases.remove(revocation.instance, revocation.target)
        self._expire(now)
        return self.decide(revocation.instance, now)

    def eject(self, instance: InstanceId, now: float) -> EjectionDecision:
        """Eject a server that was found to be an outlier, if enough leases cover it.

        The finding stays valid until cancel(): if leases run short and are complete
        again later, the server is ejected again without a new comparison.
        """
        self._check_clock(now)
        decision = self.decide(instance, now)
        if decision.state is EjectionState.NONE:
            return decision
        ejection = self._leases.ejections[instance]
        ejection.outlier_confirmed = True
        if decision.state is not EjectionState.COVERED:
            return decision
        check_invariant(
            Invariant.FLOOR,
            ejection.count_valid(now) >= decision.required
            and not self._promises.is_promised(instance, now),
            ejected=instance,
            leases=decision.leases,
            required=decision.required,
        )
        ejection.ejected = True
        return self._drop_surplus(instance, self.decide(instance, now))

    def cancel(self, instance: InstanceId, now: float) -> list[FloorMessage]:
        """End an ejection or the attempt at one, and release its leases."""
        self._check_clock(now)
        return self._leases.release_all(instance)

    def decide(self, instance: InstanceId, now: float) -> EjectionDecision:
        """Return the current state of an ejection without changing it."""
        ejection = self._leases.ejections.get(instance)
        local = self._promises.find(instance)
        if ejection is None or local is None:
            return _NO_EJECTION
        view = self._leases.services[ejection.service]
        required = view.count_required(ejection.count_announced())
        leases = ejection.count_valid(now)
        if ejection.ejected and leases >= required and self._is_clock_continuous(now):
            return EjectionDecision(EjectionState.EJECTED, leases, required)
        if required > len(view.servers.keys() - {instance}):
            return EjectionDecision(EjectionState.FLOOR_FULL, leases, required)
        state = EjectionState.COVERED
        if leases < required:
            state = EjectionState.WAITING
        elif now < local.quiet_until or not self._promises.is_home(instance, now):
            state = EjectionState.QUIET
        elif self._promises.is_promised(instance, now):
            state = EjectionState.PROMISED
        return EjectionDecision(state, leases, required)

    def is_ejected(self, instance: InstanceId, now: float) -> bool:
        """Return whether a server is ejected, which ends once it has too few leases."""
        return self.decide(instance, now).state is EjectionState.EJECTED

    def is_promised(self, instance: InstanceId, now: float) -> bool:
        """Return whether this node has promised another home to keep a server."""
        return self._promises.is_promised(instance, now)

    def list_covering_servers(
        self, instance: InstanceId, now: float
    ) -> list[InstanceId]:
        """Return the servers whose valid leases cover the ejection of a server."""
        ejection = self._leases.ejections.get(instance)
        return [] if ejection is None else ejection.list_lease_targets(now)

    def get_summaries(self, instance: InstanceId) -> list[ServerSummary]:
        """Return the summaries that the homes of the peers sent in their answers."""
        ejection = self._leases.ejections.get(instance)
        return [] if ejection is None else list(ejection.summaries.values())

    def tick(self, now: float) -> list[FloorMessage]:
        """Renew, replace and expire leases; must be called at least every 100 ms."""
        self._check_clock(now)
        self._expire(now)
        sends: list[FloorMessage] = []
        for instance, ejection in self._leases.ejections.items():
            sends += self._leases.request_renewals(instance, now)
            covered = self.decide(instance, now).state is EjectionState.COVERED
            if covered and ejection.outlier_confirmed:
                sends += self.eject(instance, now).sends
            if not covered:
                sends += self._request_missing(instance, now)
        return sends

    def _find_denial_reason(
        self, request: FloorRequest, now: float
    ) -> DenialReason | None:
        local = self._promises.find(request.target)
        is_home = self._promises.is_home(request.target, now)
        if local is None or local.service != request.service or not is_home:
            return DenialReason.NOT_HOME
        if not local.in_service:
            return DenialReason.NOT_IN_SERVICE
        ejection = self._leases.ejections.get(request.target)
        if ejection is None:
            return None
        if self.is_ejected(request.target, now):
            # The home of request.instance wants to eject that server, so a lease on it
            # that covers this ejection must be replaced by one on another server.
            ejection.mark_for_replacement(request.instance)
            return DenialReason.EJECTED
        ejection.ejected = False
        own = (ejection.score, request.target)
        if (request.score, request.instance) > own:
            return None
        return DenialReason.PENDING

    def _request_missing(self, instance: InstanceId, now: float) -> list[FloorRequest]:
        decision = self.decide(instance, now)
        if decision.state is EjectionState.FLOOR_FULL:
            return []
        return self._leases.request_missing(instance, decision.required, now)

    def _drop_surplus(
        self, instance: InstanceId, decision: EjectionDecision
    ) -> EjectionDecision:
        required = decision.required
        sends = self._leases.release_surplus(instance, required)
        kept = min(decision.leases, required)
        return EjectionDecision(decision.state, kept, required, tuple(sends))

    def _expire(self, now: float) -> None:
        """Remove expired leases and promises and end ejections with too few leases."""
        self._promises.expire(now)
        for instance, ejection in self._leases.ejections.items():
            ejection.drop_expired(now)
            if not self.is_ejected(instance, now):
                ejection.ejected = False

    def _is_clock_continuous(self, now: float) -> bool:
        return 0.0 <= now - self._last_call_at <= CALL_GAP_MAX_S

    def _check_clock(self, now: float) -> None:
        """After a pause or a clock jump, discard leases and restart promises.

        Earlier announcements are discarded too.
        """
        continuous = self._is_clock_continuous(now)
        self._last_call_at = now
        if continuous:
            return
        self._promises.restart_promises(now)
        for ejection in self._leases.ejections.values():
            ejection.reset()
