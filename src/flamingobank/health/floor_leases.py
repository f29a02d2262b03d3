"""Request, renew and release floor leases on servers of other homes."""

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health.evidence import ServerSummary
from flamingobank.health.floor_messages import (
    FloorGrant,
    FloorRelease,
    FloorRequest,
)
from flamingobank.health.floor_records import (
    LEASE_S,
    RENEW_AFTER_S,
    REPEAT_AFTER_S,
    Ejection,
    FloorLease,
    ServiceView,
)


class EjectionLeases:
    """Pending and current ejections of a node with the leases that cover them."""

    def __init__(self, node_id: NodeId, epoch: int) -> None:
        self._node_id = node_id
        self._epoch = epoch
        self._number = 0
        self.services: dict[ServiceName, ServiceView] = {}
        self.ejections: dict[InstanceId, Ejection] = {}

    def pop_request(
        self, request: FloorRequest, summary: ServerSummary
    ) -> float | None:
        """Remove the pending request of an answer and return its sending time.

        Returns None if no such request of this process is pending.
        """
        ejection = self.ejections.get(request.instance)
        if ejection is None or request.epoch != self._epoch:
            return None
        sent = ejection.pending.pop(request.number, None)
        if sent is None:
            return None
        ejection.summaries[request.target] = summary
        return sent[1]

    def store_grant(self, grant: FloorGrant, sent_at: float) -> None:
        """Add or renew a lease, which lasts LEASE_S from the sending of its request."""
        leases = self.ejections[grant.request.instance].leases
        target = grant.request.target
        held = leases.get(target)
        if held is not None and held.deadline >= sent_at + LEASE_S:
            return
        leases[target] = FloorLease(
            sent_at + LEASE_S,
            grant.score,
            grant.announced,
            sent_at + RENEW_AFTER_S,
            grant.pending,
        )

    def request_renewals(self, instance: InstanceId, now: float) -> list[FloorRequest]:
        """Return requests for leases that are due for renewal."""
        ejection = self.ejections[instance]
        due = [t for t, lease in ejection.leases.items() if lease.renew_at <= now]
        for target in due:
            ejection.leases[target].renew_at = now + REPEAT_AFTER_S
        return self._build_requests(instance, due, now)

    def request_missing(
        self, instance: InstanceId, required: int, now: float
    ) -> list[FloorRequest]:
        """Return requests about all other servers if there are too few leases."""
        ejection = self.ejections[instance]
        if ejection.count_reliable(now) >= required:
            return []
        if now - ejection.requested_at < REPEAT_AFTER_S:
            return []
        ejection.requested_at = now
        servers = self.services[ejection.service].servers
        missing = [t for t in servers if t != instance and t not in ejection.leases]
        return self._build_requests(instance, missing, now)

    def remove(self, instance: InstanceId, target: InstanceId) -> None:
        """Drop the lease on a target that has left service."""
        ejection = self.ejections.get(instance)
        if ejection is not None:
            ejection.remove(target)

    def release_surplus(
        self, instance: InstanceId, required: int
    ) -> list[FloorRelease]:
        """Release leases beyond the required number, to allow further ejections."""
        leases = self.ejections[instance].leases
        ranked = sorted(
            leases,
            key=lambda target: (
                leases[target].needs_replacement,
                leases[target].score,
                target,
            ),
        )
        return self.release(instance, ranked[required:])

    def release_all(self, instance: InstanceId) -> list[FloorRelease]:
        """End an ejection; release all of its leases and pending requests."""
        ejection = self.ejections.get(instance)
        if ejection is None:
            return []
        releases = self.release(instance, list(ejection.latest_number))
        del self.ejections[instance]
        return releases

    def release(
        self, instance: InstanceId, targets: list[InstanceId]
    ) -> list[FloorRelease]:
        """Release leases on targets and drop pending requests about them."""
        ejection = self.ejections[instance]
        servers = self.services[ejection.service].servers
        releases = []
        for target in targets:
            number = ejection.remove(target)
            destination = servers.get(target)
            if destination is None:
                continue
            releases.append(
                FloorRelease(
                    ejection.service,
                    instance,
                    target,
                    self._node_id,
                    self._epoch,
                    number,
                    destination,
                )
            )
        return releases

    def _build_requests(
        self, instance: InstanceId, targets: list[InstanceId], now: float
    ) -> list[FloorRequest]:
        ejection = self.ejections[instance]
        servers = self.services[ejection.service].servers
        requests = []
        for target in targets:
            destination = servers.get(target)
            if destination is None:
                continue
            self._number += 1
            ejection.pending[self._number] = (target, now)
            ejection.latest_number[target] = self._number
            requests.append(
                FloorRequest(
                    ejection.service,
                    instance,
                    target,
                    self._node_id,
                    self._epoch,
                    self._number,
                    ejection.score,
                    destination,
                    ejection.summary,
                )
            )
        return requests
