"""Connect the quotas of one process to its links and timers."""

from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import BootId, Clock, NodeId, WorkspaceId
from flamingobank.loop import TimerHandle, Timers
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.links.channels import MessageChannel
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import Message
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.settings import Bounds
from flamingobank.sidecar.workspaces.quota_process import Outgoing, QuotaProcess
from flamingobank.sidecar.workspaces.quota_tokens import Denial, Token, Waiter
from flamingobank.sidecar.workspaces.request_tokens import TokenSource

# While requests wait, timeouts are checked this often.
CHECK_INTERVAL_S = 0.02
VOTES_INTERVAL_S = 0.1
# A link on which a peer has answered nothing for this time is replaced. Idle links are
# not checked, and after a failure of the path TCP repeats its segments ever less often.
SILENCE_TIMEOUT_S = 0.6
# A connection that was refused before a restart is reported at the latest this long
# after the restart.
MAX_CONNECTING_S = 0.5


@dataclass(slots=True)
class EndedPeer:
    """A peer that was noticed to have ended."""

    noticed_at: float
    # The process that has ended; a record of a later one tells of its restart.
    incarnation: int
    restarted_at: float | None = None


class QuotaSync(TokenSource):
    """Get tokens from the owners of quotas, and answer for those owned here."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        event_log: EventLog,
        metrics: SidecarMetrics,
        peers: PeerTable,
        boot: BootId,
        bounds: Bounds,
        get_link: Callable[[NodeId], Link | LocalLink],
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._event_log = event_log
        self._metrics = metrics
        self._peers = peers
        self._get_link = get_link
        self._process = QuotaProcess(
            peers.local_record.node,
            boot,
            bounds,
            clock.now(),
            self._find_ended_at,
            self._is_reachable,
        )
        # The list that the ranking was computed from; it is replaced by each change.
        self._ranked_peers: list[PeerRecord] | None = None
        self._ended: dict[NodeId, EndedPeer] = {}
        # For each process, since when it has not answered.
        self._unanswered_since: dict[NodeId, float] = {}
        self._turn: TimerHandle | None = None
        self._turn_at = float("inf")

    def apply_limits(self, workspaces: tuple[Workspace, ...]) -> None:
        """Apply the limits of a new routing table."""
        self._update_ranking()
        self._process.apply_limits(workspaces, self._clock.now())

    def stop(self) -> None:
        """Stop voting and owning quotas, as this process ends."""
        self._process.votes.stopping = True
        self._ranked_peers = None

    def count_owned(self) -> int:
        """Return how many workspaces' limits this process counts."""
        return self._process.owner.count_owned(self._clock.now())

    def find_owner(self, workspace: WorkspaceId) -> NodeId | None:
        """Return the process that owns a quota, as far as this one knows."""
        if self._process.owner.is_owner(workspace, self._clock.now()):
            return self._peers.local_record.node
        return self._process.client.find_owner(workspace)

    def is_limited(self, workspace: WorkspaceId) -> bool:
        return self._process.is_limited(workspace)

    def is_valid(self, token: Token) -> bool:
        return self._clock.now() < token.expires_at

    def take(self, workspace: WorkspaceId) -> Token | None:
        token = self._process.take(workspace, self._clock.now())
        if token is not None:
            self._count(workspace, token)
        return token

    def wait(
        self,
        workspace: WorkspaceId,
        on_done: Callable[[Token | Denial], None],
        expires_at: float | None = None,
    ) -> Waiter:
        def on_outcome(outcome: Token | Denial) -> None:
            self._count(workspace, outcome)
            on_done(outcome)

        waiter = self._process.wait(
            workspace, on_outcome, self._clock.now(), expires_at
        )
        # The requests of one turn of the loop are joined in one message.
        self._schedule(self._clock.now())
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        self._process.client.cancel(waiter)

    def give_back(self, token: Token) -> None:
        self._process.client.give_back(token, self._clock.now())

    def answer(self, channel: MessageChannel, message: Message) -> None:
        """Answer a peer's question for tokens or votes."""
        self._update_ranking()
        answer = self._receive(channel.peer, channel.peer_boot, message)
        if answer is not None:
            channel.send(answer)
        # The question may make this process a candidate.
        self._schedule(self._clock.now())

    def on_answer(self, node: NodeId | None, message: Message) -> None:
        """Handle a peer's answer to a question of this process."""
        if node is None:
            return
        self._unanswered_since.pop(node, None)
        self._receive(node, "", message)
        for workspace in self._process.acquired:
            self._event_log.event("quota:owner", workspace=workspace)
        self._process.acquired.clear()
        if self._process.client.is_busy:
            self._schedule(self._clock.now())

    def _receive(self, peer: str, boot: str, message: Message) -> Message | None:
        now = self._clock.now()
        try:
            return self._process.receive(NodeId(peer), BootId(boot), message, now)
        except ValueError as error:
            self._event_log.warn("quota:malformed", peer=peer, error=str(error))
            return None

    def _run(self) -> None:
        self._turn_at = float("inf")
        now = self._clock.now()
        self._update_ranking()
        for outgoing in self._process.run(now):
            self._send(outgoing, now)
        if self._process.client.is_busy:
            self._schedule(now + CHECK_INTERVAL_S)
        elif self._process.owner.needs_timer(now):
            self._schedule(now + VOTES_INTERVAL_S)

    def _send(self, outgoing: Outgoing, now: float) -> None:
        link = self._get_link(outgoing.node)
        since = self._unanswered_since.setdefault(outgoing.node, now)
        if now > since + SILENCE_TIMEOUT_S:
            link.replace_if_silent(since)
            self._unanswered_since[outgoing.node] = now
        link.send(outgoing.message)

    def _schedule(self, at: float) -> None:
        if self._turn_at <= at:
            return
        if self._turn is not None:
            self._turn.cancel()
        self._turn_at = at
        self._turn = self._timers.call_at(at, self._run)

    def _update_ranking(self) -> None:
        peers = self._peers.list_peers()
        if peers is self._ranked_peers:
            return
        self._ranked_peers = peers
        # A process that stops asks the next owners, as its peers do.
        stopping = self._process.votes.stopping
        nodes = [] if stopping else [self._peers.local_record.node]
        for record in peers:
            nodes.append(record.node)
        self._process.ranking.set_nodes(tuple(sorted(nodes)), self._clock.now())

    def _find_ended_at(self, node: NodeId) -> float | None:
        """Return when it was noticed that no process of this build runs on a node.

        Its machine refused the last connection, and it has not announced a new start;
        or it is of an earlier build, which does not vote. None if it may run.
        """
        if node == self._peers.local_record.node:
            return None
        record = self._peers.find(node)
        if record is None:
            return self._process.ranking.last_removal_at
        link = self._get_link(node)
        is_old = bool(link.peer_boot) and link.peer_revision < 2
        if link.refused_at is None and not is_old:
            self._ended.pop(node, None)
            return None
        now = self._clock.now()
        ended = self._ended.get(node)
        if ended is None:
            ended = EndedPeer(now, record.incarnation)
            self._ended[node] = ended
        if ended.incarnation == record.incarnation:
            return ended.noticed_at
        if ended.restarted_at is None:
            ended.restarted_at = now
        if not is_old and link.refused_at < ended.restarted_at + MAX_CONNECTING_S:
            return None
        # The next process on this machine has ended, too.
        self._ended[node] = EndedPeer(now, record.incarnation)
        return now

    def _is_reachable(self, node: NodeId) -> bool:
        return self._get_link(node).is_usable

    def _count(self, workspace: WorkspaceId, outcome: Token | Denial) -> None:
        if isinstance(outcome, Denial):
            result = "denied" if outcome.by_owner else "no-owner"
        elif outcome.from_fallback:
            result = "fallback"
        else:
            result = "granted"
        self._metrics.count("quota_tokens_total", workspace=workspace, outcome=result)
