"""Vote for the owners of quotas.

A vote lasts for LEASE_S and goes to one process at a time, so no two processes hold the
votes of a majority at once.
"""

from dataclasses import dataclass

from flamingobank.core import BootId, NodeId, WorkspaceId

# A process that ended or was cut off is replaced after this time. Renewals every
# RENEWAL_INTERVAL_S leave room for two lost messages.
LEASE_S = 0.6
RENEWAL_INTERVAL_S = 0.2
# A started process does not vote: it may have voted before its restart, and others may
# still take it for ended. Records of starts reach all processes sooner.
VOTE_DELAY_S = 1.5


@dataclass(frozen=True, slots=True)
class Vote:
    """The process that has a vote, and until when."""

    node: NodeId
    boot: BootId
    expires_at: float
    # When the last vote for another process expired.
    others_until: float


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a request for a vote."""

    granted: bool
    # For how many seconds no other process than the asking one has had the vote.
    free_s: float
    # The process that has the vote; empty if none has.
    holder: str


class QuotaVotes:
    """The votes of one process."""

    def __init__(self, started_at: float) -> None:
        self.votes_from = started_at + VOTE_DELAY_S
        # A vote of an earlier process on this machine has expired by then.
        self._unknown_until = started_at + LEASE_S
        # A process that stops does not vote any more.
        self.stopping = False
        self._votes: dict[WorkspaceId, Vote] = {}

    def find_holder(self, workspace: WorkspaceId, now: float) -> Vote | None:
        """Return the vote for a workspace that has not expired."""
        vote = self._votes.get(workspace)
        return vote if vote is not None and now < vote.expires_at else None

    def vote(
        self, workspace: WorkspaceId, node: NodeId, boot: BootId, now: float
    ) -> VoteReply:
        """Vote for a process, or renew the vote, unless another one has it."""
        if now < self.votes_from or self.stopping:
            return VoteReply(False, 0.0, "")
        vote = self._votes.get(workspace)
        is_same = vote is not None and (vote.node, vote.boot) == (node, boot)
        if vote is not None and not is_same and now < vote.expires_at:
            return VoteReply(False, 0.0, vote.node)
        others_until = self._unknown_until
        if vote is not None:
            others_until = vote.others_until if is_same else vote.expires_at
        self._votes[workspace] = Vote(node, boot, now + LEASE_S, others_until)
        return VoteReply(True, max(0.0, now - others_until), node)
