"""Count the requests of the workspaces whose quotas this process owns."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from flamingobank.core import BootId, NodeId, WorkspaceId
from flamingobank.sidecar.workspaces.quota_ranking import QuotaRanking
from flamingobank.sidecar.workspaces.quota_shares import QuotaShares
from flamingobank.sidecar.workspaces.quota_votes import (
    LEASE_S,
    RENEWAL_INTERVAL_S,
    QuotaVotes,
    VoteReply,
)
from flamingobank.sidecar.workspaces.token_bucket import TokenBucket

# An owner that nobody asked for this time no longer renews its votes.
IDLE_S = 10.0
# A process that is not the first voter asks for votes only after it was asked for
# tokens for this time per place, so that two of them seldom compete.
CANDIDACY_DELAY_S = 0.1
# With no question for this time, the process is no longer needed as a replacement.
CANDIDACY_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Ruling:
    """The answer to a question for tokens."""

    # Whether this process owns the quota; otherwise nothing was decided.
    owned: bool
    granted: int
    # Seconds until the refused requests may come back; spread over them.
    retry_s: float
    # The process that may own the quota instead; empty if unknown.
    holder: str


class OwnedQuota:
    """The bucket of one workspace and the votes for this process as its owner."""

    def __init__(self) -> None:
        self.bucket: TokenBucket | None = None
        self.asked_at = float("-inf")
        # Since when this process is asked without being the owner.
        self.wanted_since = float("-inf")
        self.lease_expires_at = float("-inf")
        self.votes_asked_at = float("-inf")
        # For each voter that voted for this process: when its vote expires, and since
        # when no other process has had it.
        self.votes: dict[NodeId, tuple[float, float]] = {}
        # The process that another voter named as the owner, and until when it may be.
        self.holder = ""
        self.holder_until = float("-inf")


class QuotaOwner:
    """All quotas that this process owns or may become the owner of."""

    def __init__(
        self,
        node: NodeId,
        boot: BootId,
        votes: QuotaVotes,
        ranking: QuotaRanking,
        find_ended_at: Callable[[NodeId], float | None],
        find_shares: Callable[[WorkspaceId], QuotaShares | None],
    ) -> None:
        self._node = node
        self._boot = boot
        self._votes = votes
        self._ranking = ranking
        self._find_ended_at = find_ended_at
        self._find_shares = find_shares
        self._quotas: dict[WorkspaceId, OwnedQuota] = {}

    def count_owned(self, now: float) -> int:
        """Return how many quotas this process owns."""
        owned = 0
        for quota in self._quotas.values():
            owned += now < quota.lease_expires_at
        return owned

    def is_owner(self, workspace: WorkspaceId, now: float) -> bool:
        """Return whether this process owns a quota."""
        quota = self._quotas.get(workspace)
        return quota is not None and now < quota.lease_expires_at

    def ask(
        self, workspace: WorkspaceId, count: int, now: float, ages: Sequence[float] = ()
    ) -> Ruling:
        """Grant tokens if this process is the owner.

        `ages` are those of earlier tokens that were not used.
        """
        shares = self._find_shares(workspace)
        if shares is None:
            return Ruling(False, 0, 0.0, "")
        quota = self._quotas.setdefault(workspace, OwnedQuota())
        if now > quota.asked_at + CANDIDACY_TIMEOUT_S:
            quota.wanted_since = now
        quota.asked_at = now
        if now >= quota.lease_expires_at:
            return Ruling(False, 0, 0.0, self._find_other(workspace, quota, now))
        quota.wanted_since = now
        bucket = quota.bucket
        bucket.change(shares.rate_per_s, shares.capacity, now)
        for age_s in ages:
            bucket.give_back(now - age_s, now)
        granted = bucket.take(count, now)
        if granted == count:
            return Ruling(True, granted, 0.0, "")
        return Ruling(True, granted, bucket.promise(count - granted, now), "")

    def is_candidate(self, workspace: WorkspaceId, now: float) -> bool:
        """Return whether this process owns a quota or should try to own it."""
        quota = self._quotas.get(workspace)
        if quota is None or self._votes.stopping or now < self._votes.votes_from:
            return False
        if now < quota.lease_expires_at:
            return now <= quota.asked_at + IDLE_S
        if self._find_other(workspace, quota, now):
            return False
        if now > quota.asked_at + CANDIDACY_TIMEOUT_S:
            return False
        voters = self._ranking.list_voters(workspace, self._find_ended_at)
        if self._node not in voters:
            return False
        place = voters.index(self._node)
        return now >= quota.wanted_since + place * CANDIDACY_DELAY_S

    def list_vote_requests(self, now: float) -> dict[NodeId, list[WorkspaceId]]:
        """Return the votes that are to be asked for now, by voter."""
        requests: dict[NodeId, list[WorkspaceId]] = {}
        for workspace in list(self._quotas):
            quota = self._quotas[workspace]
            if self._find_shares(workspace) is None:
                del self._quotas[workspace]
                continue
            if not self.is_candidate(workspace, now):
                continue
            interval_s = RENEWAL_INTERVAL_S
            if now >= quota.lease_expires_at:
                interval_s /= 4
            if now < quota.votes_asked_at + interval_s:
                continue
            quota.votes_asked_at = now
            voters = self._ranking.list_voters(workspace, self._find_ended_at)
            for voter in voters:
                if voter != self._node:
                    requests.setdefault(voter, []).append(workspace)
            if voters == [self._node]:
                self._count_votes(workspace, quota, now)
        return requests

    def needs_timer(self, now: float) -> bool:
        """Return whether votes may have to be asked for later."""
        return any(now <= quota.asked_at + IDLE_S for quota in self._quotas.values())

    def vote_for(
        self, workspace: WorkspaceId, node: NodeId, boot: BootId, now: float
    ) -> VoteReply:
        """Answer another process's request for a vote.

        A candidate does not vote for one behind it, so that one of two gets both votes.
        """
        if self.is_candidate(workspace, now):
            voters = self._ranking.list_voters(workspace, self._find_ended_at)
            own_place = voters.index(self._node) if self._node in voters else 0
            if node not in voters or voters.index(node) > own_place:
                return VoteReply(False, 0.0, self._node)
        return self._votes.vote(workspace, node, boot, now)

    def note_vote(
        self,
        workspace: WorkspaceId,
        voter: NodeId,
        asked_at: float,
        reply: VoteReply,
        now: float,
    ) -> bool:
        """Count a vote; return whether this process has just become the owner."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return False
        if not reply.granted:
            if reply.holder != self._node:
                quota.holder, quota.holder_until = reply.holder, asked_at + LEASE_S
            return False
        # The voter counts the same time from when it got the question.
        quota.votes[voter] = (asked_at + LEASE_S, now - reply.free_s)
        return self._count_votes(workspace, quota, now)

    def _count_votes(
        self, workspace: WorkspaceId, quota: OwnedQuota, now: float
    ) -> bool:
        voters = self._ranking.list_voters(workspace, self._find_ended_at)
        if self._node not in voters:
            return False
        others = []
        for voter in voters:
            expires_at, free_since = quota.votes.get(voter, (float("-inf"), now))
            if voter != self._node and now < expires_at:
                others.append((expires_at, free_since))
        others.sort(reverse=True)
        del others[len(voters) // 2 :]
        if len(others) < len(voters) // 2:
            return False
        own = self._votes.vote(workspace, self._node, self._boot, now)
        if not own.granted:
            return False
        shares = self._find_shares(workspace)
        if shares is None:
            return False
        was_owner = now < quota.lease_expires_at
        if not was_owner:
            free_since = now - own.free_s
            for _, since in others:
                free_since = max(free_since, since)
            # A process that has ended may have voted for another one until then.
            last_end = self._ranking.find_last_end(workspace, self._find_ended_at)
            free_since = max(free_since, last_end + LEASE_S)
            if free_since > now:
                return False
            self._start_count(quota, shares, free_since, now)
        quota.lease_expires_at = now + LEASE_S
        for expires_at, _ in others:
            quota.lease_expires_at = min(quota.lease_expires_at, expires_at)
        return not was_owner

    def _start_count(
        self, quota: OwnedQuota, shares: QuotaShares, free_since: float, now: float
    ) -> None:
        """Start with the tokens that are left if another owner used its whole burst.

        No other process has been the owner since `free_since`: it would have had a vote
        of this majority.
        """
        if quota.bucket is not None and free_since <= quota.lease_expires_at:
            return
        free_s = now - free_since
        tokens = free_s * shares.rate_per_s
        if free_s >= shares.window_s:
            tokens = shares.capacity
        quota.bucket = TokenBucket(shares.rate_per_s, shares.capacity, tokens, now)

    def _find_other(self, workspace: WorkspaceId, quota: OwnedQuota, now: float) -> str:
        """Return another process that may own a quota; empty if none is known."""
        vote = self._votes.find_holder(workspace, now)
        if vote is not None and vote.node != self._node:
            return vote.node
        return quota.holder if now < quota.holder_until else ""
