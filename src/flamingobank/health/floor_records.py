"""Hold the records of one node's floor leases."""

from dataclasses import dataclass, field

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health.evidence import ServerSummary
from flamingobank.objects import Floor

# A promise lasts this long from the receipt of the request.
PROMISE_S = 3.0
# A lease lasts this long from the sending of the request. It is shorter than the
# promise, so that clocks whose rates differ by up to 3% do no harm.
LEASE_S = 2.9
RENEW_AFTER_S = 1.0
# Unanswered requests are repeated after this time.
REPEAT_AFTER_S = 0.5
# A lease that ends sooner than this is replaced if it cannot be renewed.
REPLACE_BEFORE_S = 1.4
# A longer time without any call means that the node was paused.
CALL_GAP_MAX_S = 1.5
ANNOUNCEMENT_LIFE_S = 3.0
# Announcements that queued up during a pause arrive within this time after it.
RESUME_GRACE_S = 1.0
# The former home may promise until its last announcement is 3 s old, and that
# promise lasts another 3 s.
QUIET_PERIOD_S = ANNOUNCEMENT_LIFE_S + PROMISE_S + 0.5


@dataclass(slots=True)
class ServiceView:
    """Hold what the node knows of a service."""

    floor: Floor
    servers: dict[InstanceId, NodeId]

    def count_required(self, announced: int) -> int:
        """Return how many servers must stay in service, at least one."""
        return max(1, self.floor.count_servers(max(announced, len(self.servers))))


@dataclass(slots=True)
class LocalServer:
    """Hold a server whose home this node is, and the promises about it."""

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
    """Hold another home's promise."""

    deadline: float
    score: float
    announced: int
    renew_at: float
    # The target wants to be replaced, or its home refused to renew.
    needs_replacement: bool = False


@dataclass(slots=True)
class Ejection:
    """Hold a wanted or current ejection of a local server."""

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
        """Return the targets of unexpired leases."""
        return [t for t, lease in self.leases.items() if lease.deadline > now]

    def count_valid(self, now: float) -> int:
        """Return the number of unexpired leases."""
        return len(self.list_lease_targets(now))

    def count_reliable(self, now: float) -> int:
        """Return the number of leases that need no replacement yet."""
        return sum(
            not lease.needs_replacement and lease.deadline > now + REPLACE_BEFORE_S
            for lease in self.leases.values()
        )

    def count_announced(self) -> int:
        """Return the largest number of servers that a grantor knows."""
        return max((lease.announced for lease in self.leases.values()), default=0)

    def drop_expired(self, now: float) -> None:
        """Forget leases and requests that can no longer count."""
        for target in [t for t, held in self.leases.items() if held.deadline <= now]:
            del self.leases[target]
        for number in [
            n for n, (_, sent_at) in self.pending.items() if sent_at + LEASE_S <= now
        ]:
            del self.pending[number]

    def reset(self) -> None:
        """Forget every lease and open request; the server is in service again."""
        self.leases.clear()
        self.pending.clear()
        self.ejected = False
        self.requested_at = float("-inf")

    def mark_for_replacement(self, target: InstanceId) -> None:
        """Mark a lease for replacement."""
        lease = self.leases.get(target)
        if lease is not None:
            lease.needs_replacement = True

    def forget(self, target: InstanceId) -> int:
        """Drop the lease and every open request on a target.

        A late grant of an older request must not count after the release.
        """
        self.leases.pop(target, None)
        for number in [n for n, (t, _) in self.pending.items() if t == target]:
            del self.pending[number]
        return self.latest_number.get(target, 0)
