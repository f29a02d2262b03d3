"""Records and timing constants of the floor leases of one node."""

from dataclasses import dataclass, field

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health.evidence import ServerSummary
from flamingobank.objects import Floor

# Duration of a promise, from the receipt of the request.
PROMISE_S = 3.0
# Duration of a lease, from the sending of the request. It is shorter than that of the
# promise to tolerate clocks whose rates differ by up to 3%.
LEASE_S = 2.9
RENEW_AFTER_S = 1.0
# Time after which an unanswered request is repeated.
REPEAT_AFTER_S = 0.5
# A lease that expires within this time is replaced if it cannot be renewed.
REPLACE_BEFORE_S = 1.4
# A longer time between two calls means that the node was paused.
CALL_GAP_MAX_S = 1.5
ANNOUNCEMENT_LIFE_S = 3.0
# Announcements that were queued during a pause arrive within this time after it.
RESUME_GRACE_S = 1.0
# Time for which a new home ejects nothing. The former home may give a promise until
# the last announcement it received is 3 s old, and that promise lasts another 3 s.
QUIET_PERIOD_S = ANNOUNCEMENT_LIFE_S + PROMISE_S + 0.5


@dataclass(slots=True)
class ServiceView:
    """Floor and servers of a service as this node knows them."""

    floor: Floor
    servers: dict[InstanceId, NodeId]

    def count_required(self, announced: int) -> int:
        """Return how many servers must stay in service, which is at least one.

        announced is the largest number of servers that a grantor has reported.
        """
        return max(1, self.floor.count_servers(max(announced, len(self.servers))))


@dataclass(slots=True)
class LocalServer:
    """Server whose home is this node, with the promises about it."""

    service: ServiceName
    announced_at: float
    quiet_until: float
    in_service: bool = True
    # (deadline, request number) by (instance, holder, epoch).
    promises: dict[tuple[InstanceId, NodeId, int], tuple[float, int]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class FloorLease:
    """Promise of another home, as its holder stores it."""

    deadline: float
    score: float
    announced: int
    renew_at: float
    # The target is to be ejected itself, or its home refused to renew the lease.
    needs_replacement: bool = False


@dataclass(slots=True)
class Ejection:
    """Pending or current ejection of a local server."""

    service: ServiceName
    score: float
    summary: ServerSummary
    leases: dict[InstanceId, FloorLease] = field(default_factory=dict)
    # (target, sending time) by request number.
    pending: dict[int, tuple[InstanceId, float]] = field(default_factory=dict)
    latest_number: dict[InstanceId, int] = field(default_factory=dict)
    summaries: dict[InstanceId, ServerSummary] = field(default_factory=dict)
    requested_at: float = float("-inf")
    outlier_confirmed: bool = False
    ejected: bool = False

    def list_lease_targets(self, now: float) -> list[InstanceId]:
        """Return the targets of leases that have not expired."""
        return [t for t, lease in self.leases.items() if lease.deadline > now]

    def count_valid(self, now: float) -> int:
        """Return the number of leases that have not expired."""
        return len(self.list_lease_targets(now))

    def count_reliable(self, now: float) -> int:
        """Return the number of leases that do not need a replacement yet."""
        return sum(
            not lease.needs_replacement and lease.deadline > now + REPLACE_BEFORE_S
            for lease in self.leases.values()
        )

    def count_announced(self) -> int:
        """Return the largest number of servers that any grantor has reported."""
        return max((lease.announced for lease in self.leases.values()), default=0)

    def drop_expired(self, now: float) -> None:
        """Remove expired leases, and requests whose grant would be expired by now."""
        for target in [t for t, held in self.leases.items() if held.deadline <= now]:
            del self.leases[target]
        for number in [
            n for n, (_, sent_at) in self.pending.items() if sent_at + LEASE_S <= now
        ]:
            del self.pending[number]

    def reset(self) -> None:
        """Drop every lease and pending request; the server is in service again."""
        self.leases.clear()
        self.pending.clear()
        self.ejected = False
        self.requested_at = float("-inf")

    def mark_for_replacement(self, target: InstanceId) -> None:
        """Mark a lease for replacement."""
        lease = self.leases.get(target)
        if lease is not None:
            lease.needs_replacement = True

    def remove(self, target: InstanceId) -> int:
        """Drop the lease and pending requests on a target.

        Returns the number of the latest request for the target, to be named in the
        release. A late grant for that or an older request does not become a lease.
        """
        self.leases.pop(target, None)
        for number in [n for n, (t, _) in self.pending.items() if t == target]:
            del self.pending[number]
        return self.latest_number.get(target, 0)
