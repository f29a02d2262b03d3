"""Combine the roles of one process in quotas: entry, voter and owner.

Messages and times go in and messages come out; quota_sync.py connects this to links
and timers.
"""

from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import BootId, NodeId, WorkspaceId
from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.links.messages import (
    Message,
    QuotaGrant,
    QuotaRequest,
    QuotaVote,
    QuotaVoteRequest,
)
from flamingobank.sidecar.settings import Bounds
from flamingobank.sidecar.workspaces.client_quota import MAX_UNUSED
from flamingobank.sidecar.workspaces.quota_client import QuotaClient
from flamingobank.sidecar.workspaces.quota_owner import QuotaOwner
from flamingobank.sidecar.workspaces.quota_ranking import QuotaRanking
from flamingobank.sidecar.workspaces.quota_shares import QuotaShares, compute_shares
from flamingobank.sidecar.workspaces.quota_tokens import Denial, Token, Waiter
from flamingobank.sidecar.workspaces.quota_votes import QuotaVotes, VoteReply

# Messages that were sent this long ago get no answer that is still of use.
ASKED_RETENTION_S = 1.0
MAX_ITEMS = 4096
MAX_TOKENS = 10_000
MAX_TIME_S = 86_400.0 * 365
# The types of the values in each item.
ITEM_TYPES = {
    QuotaRequest: (str, int, list),
    QuotaGrant: (str, bool, int, float, str),
    QuotaVoteRequest: (str,),
    QuotaVote: (str, bool, float, str),
}


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another process."""

    node: NodeId
    message: Message


class QuotaProcess:
    """Decide on tokens for the requests of one process and of its peers."""

    def __init__(
        self,
        node: NodeId,
        boot: BootId,
        bounds: Bounds,
        started_at: float,
        find_ended_at: Callable[[NodeId], float | None],
        is_reachable: Callable[[NodeId], bool],
    ) -> None:
        self.ranking = QuotaRanking()
        self.votes = QuotaVotes(started_at)
        self._node = node
        self._boot = boot
        self._bounds = bounds
        self._find_ended_at = find_ended_at
        self._is_reachable = is_reachable
        self._limits: dict[WorkspaceId, Workspace] = {}
        # Computed on first use after a change of the limits or of the ranking.
        self._shares: dict[WorkspaceId, QuotaShares] = {}
        self._shares_version = -1
        self.owner = QuotaOwner(
            node, boot, self.votes, self.ranking, find_ended_at, self.find_shares
        )
        self.client = QuotaClient(
            self._list_candidates, self._may_ask, self.find_shares
        )
        self._sequence = 0
        # When each message was sent, and to which process.
        self._asked: dict[int, tuple[NodeId, float]] = {}
        # The owners that this process has become since the last look, for the log.
        self.acquired: list[WorkspaceId] = []

    def apply_limits(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Apply the limits of a new configuration."""
        self._limits = {}
        self._shares.clear()
        for workspace in workspaces:
            if workspace.rate_per_s > 0:
                self._limits[workspace.name] = workspace
        kept = set(self._limits)
        self.client.forget(kept)
        for name in kept:
            self.client.prepare(name, now)

    def is_limited(self, workspace: WorkspaceId) -> bool:
        """Return whether requests of a workspace need tokens."""
        return workspace in self._limits

    def find_shares(self, workspace: WorkspaceId) -> QuotaShares | None:
        """Return the limits of a workspace, None without a limit."""
        if self._shares_version != self.ranking.version:
            self._shares_version = self.ranking.version
            self._shares.clear()
        shares = self._shares.get(workspace)
        if shares is not None:
            return shares
        limits = self._limits.get(workspace)
        if limits is None:
            return None
        rank = self.ranking.find_fallback_rank(workspace, self._node)
        shares = compute_shares(limits, self._bounds, len(self.ranking), rank)
        self._shares[workspace] = shares
        return shares

    def take(self, workspace: WorkspaceId, now: float) -> Token | None:
        """Take a token that is at hand."""
        return self.client.take(workspace, now)

    def wait(
        self,
        workspace: WorkspaceId,
        on_done: Callable[[Token | Denial], None],
        now: float,
        expires_at: float | None = None,
    ) -> Waiter:
        """Queue a request for a token; run() settles it."""
        return self.client.wait(workspace, on_done, now, expires_at)

    def run(self, now: float) -> list[Outgoing]:
        """Settle what is due, and return the messages to send."""
        outgoing = []
        for node, workspaces in self.owner.list_vote_requests(now).items():
            sequence = self._register(node, now)
            message = QuotaVoteRequest(
                sequence, [[workspace] for workspace in workspaces]
            )
            outgoing.append(Outgoing(node, message))
        # The own quotas are decided at once, after which requests may have other needs.
        for _ in range(2):
            own_items = []
            for node, items in self.client.list_questions(now).items():
                if node == self._node:
                    own_items = items
                    continue
                sequence = self._register(node, now)
                packed = [list(item) for item in items]
                outgoing.append(Outgoing(node, QuotaRequest(sequence, packed)))
            if not own_items:
                break
            for workspace, count, ages in own_items:
                self._answer_own(workspace, count, ages, now)
        return outgoing

    def receive(
        self, node: NodeId, boot: BootId, message: Message, now: float
    ) -> Message | None:
        """Handle a message of a peer; return the answer to it, if there is one.

        Raises ValueError for a malformed message.
        """
        _check_items(message)
        if isinstance(message, QuotaRequest):
            return self._answer_request(message, now)
        if isinstance(message, QuotaVoteRequest):
            return self._answer_vote_request(node, boot, message, now)
        asked = self._asked.pop(message.sequence, None)
        if asked is None or asked[0] != node:
            return None
        if isinstance(message, QuotaGrant):
            self._take_grant(node, asked[1], message, now)
        elif isinstance(message, QuotaVote):
            for workspace, *fields in message.items:
                reply = VoteReply(*fields)
                if self.owner.note_vote(workspace, node, asked[1], reply, now):
                    self.acquired.append(workspace)
        return None

    def _answer_own(
        self, workspace: WorkspaceId, count: int, ages: list[float], now: float
    ) -> None:
        ruling = self.owner.ask(workspace, count, now, ages)
        if ruling.owned:
            self.client.on_grant(
                workspace, self._node, now, ruling.granted, ruling.retry_s, now
            )
            return
        self.client.on_not_owner(workspace, self._node, now, ruling.holder or None, now)

    def _answer_request(self, message: QuotaRequest, now: float) -> QuotaGrant:
        items = []
        for workspace, count, ages in message.items:
            ruling = self.owner.ask(workspace, count, now, _check_ages(ages))
            items.append(
                [
                    workspace,
                    ruling.owned,
                    ruling.granted,
                    ruling.retry_s,
                    ruling.holder,
                ]
            )
        return QuotaGrant(message.sequence, items)

    def _answer_vote_request(
        self, node: NodeId, boot: BootId, message: QuotaVoteRequest, now: float
    ) -> QuotaVote:
        items = []
        for (workspace,) in message.items:
            if not self.is_limited(workspace):
                continue
            reply = self.owner.vote_for(workspace, node, boot, now)
            items.append([workspace, reply.granted, reply.free_s, reply.holder])
        return QuotaVote(message.sequence, items)

    def _take_grant(
        self, node: NodeId, asked_at: float, message: QuotaGrant, now: float
    ) -> None:
        for workspace, owned, granted, retry_s, holder in message.items:
            if owned:
                self.client.on_grant(workspace, node, asked_at, granted, retry_s, now)
                continue
            self.client.on_not_owner(
                workspace, node, asked_at, NodeId(holder) if holder else None, now
            )

    def _register(self, node: NodeId, now: float) -> int:
        for sequence, (_, asked_at) in list(self._asked.items()):
            if now < asked_at + ASKED_RETENTION_S:
                break
            del self._asked[sequence]
        self._sequence += 1
        self._asked[self._sequence] = (node, now)
        return self._sequence

    def _list_candidates(self, workspace: WorkspaceId) -> list[NodeId]:
        candidates = []
        for node in self.ranking.list_voters(workspace, self._find_ended_at):
            if self._may_ask(node):
                candidates.append(node)
        return candidates

    def _may_ask(self, node: NodeId) -> bool:
        return node == self._node or (
            self._find_ended_at(node) is None and self._is_reachable(node)
        )


def _check_ages(ages: list) -> list[float]:
    if len(ages) > MAX_UNUSED:
        raise ValueError(f"item has {len(ages)} unused tokens")
    for age_s in ages:
        if type(age_s) is not float or not 0 <= age_s <= MAX_TIME_S:
            raise ValueError(f"unused token has the age {age_s!r:.80}")
    return ages


def _check_items(message: Message) -> None:
    types = ITEM_TYPES[type(message)]
    if len(message.items) > MAX_ITEMS:
        raise ValueError(f"message has {len(message.items)} items")
    for item in message.items:
        if not isinstance(item, list) or len(item) != len(types):
            raise ValueError(f"item is {item!r:.80}, expected {len(types)} values")
        for value, expected in zip(item, types, strict=True):
            if type(value) is not expected:
                raise ValueError(f"item has {value!r:.80}, not {expected.__name__}")
            if expected is int and not 0 <= value <= MAX_TOKENS:
                raise ValueError(f"item has the number of tokens {value}")
            if expected is float and not 0 <= value <= MAX_TIME_S:
                raise ValueError(f"item has the time {value}")
