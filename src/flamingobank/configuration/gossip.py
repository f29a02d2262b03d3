"""Distribute deltas among the nodes and pull the ones that were missed."""

import random
from collections import deque
from collections.abc import Callable

from flamingobank.configuration.log import ConfigurationLog
from flamingobank.configuration.messages import (
    Delta,
    DeltaRequest,
    PeerMessage,
    SendToPeer,
    SnapshotChunk,
    SnapshotRequest,
)
from flamingobank.configuration.outcomes import (
    ConfigurationOutcome,
    DeltaApplied,
    Malformed,
    RevisionRegressed,
    SkipReason,
    SnapshotLoaded,
)
from flamingobank.configuration.snapshots import (
    BEFORE_FIRST_KEY,
    SnapshotLoader,
    build_chunk,
)
from flamingobank.core import FailureDomain, NodeId, Revision

PUSH_FANOUT = 4
# A push usually arrives within this time, which makes the pull unnecessary.
PULL_DELAY_S = 0.1
PULL_JITTER_S = 0.4
ANSWER_TIMEOUT_S = 1.0
# Number of peers to record that reported a higher revision and can be pulled from.
MAX_SOURCES = 8
# A chunk takes about 2 ms to build, so answers use at most a tenth of a core.
ANSWERS_PER_S = 50.0
MAX_ANSWER_BURST = 50.0
MAX_OUTCOMES = 1024

# Returns up to the given number of random members in service, without the excluded
# ones. If a domain is given, members of that domain are left out too.
PickPeers = Callable[[int, FailureDomain | None, frozenset[NodeId]], list[NodeId]]


class ConfigurationGossip:
    """Decide which deltas, requests and snapshot chunks to send to which peers.

    The methods take and return messages as values; the node sends and receives them.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        own_domain: FailureDomain,
        pick_peers: PickPeers,
        rng: random.Random,
        now: float,
    ) -> None:
        self._log = log
        self._own_domain = own_domain
        self._pick_peers = pick_peers
        self._rng = rng
        self._sources: dict[NodeId, Revision] = {}
        self._pull_at: float | None = None
        self._pulled_peer: NodeId | None = None
        self._answer_due_at = 0.0
        self._loader: SnapshotLoader | None = None
        self._answer_tokens = MAX_ANSWER_BURST
        self._refilled_at = now
        self._outcomes: deque[ConfigurationOutcome] = deque(maxlen=MAX_OUTCOMES)

    @property
    def is_behind(self) -> bool:
        """Tell whether a peer is known to have a higher revision."""
        return any(item > self._log.revision for item in self._sources.values())

    def take_outcomes(self) -> list[ConfigurationOutcome]:
        """Return the outcomes since the last call, oldest first."""
        outcomes = list(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def publish(self, delta: Delta, now: float) -> list[SendToPeer]:
        """Apply a delta from the store; return the messages that push it to peers."""
        return self._apply(delta, None, now)

    def observe_revision(self, node_id: NodeId, revision: Revision, now: float) -> None:
        """Record the revision that a peer reported; schedule a pull if it is higher."""
        if revision <= self._log.revision:
            return
        if node_id not in self._sources and len(self._sources) >= MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self._sources[node_id] = revision
        self._schedule_pull(now)

    def start_boot(self, node_id: NodeId, now: float) -> list[SendToPeer]:
        """Start pulling the whole configuration from a peer, before accepting work."""
        self._sources.setdefault(node_id, Revision(self._log.revision + 1))
        return self._pull_from(node_id, now)

    def handle(
        self, sender: NodeId, message: PeerMessage, now: float
    ) -> list[SendToPeer]:
        """Handle a message from a peer; return the messages to send."""
        if isinstance(message, Delta):
            return self._handle_delta(sender, message, now)
        if isinstance(message, DeltaRequest):
            return self._answer_delta_request(sender, message, now)
        if isinstance(message, SnapshotRequest):
            if not self._take_answer_token(now):
                return []
            return [SendToPeer(sender, build_chunk(self._log, message.after))]
        return self._handle_chunk(sender, message, now)

    def tick(self, now: float) -> list[SendToPeer]:
        """Return the pull request that is due, if any; call this about every 100 ms."""
        self._log.drop_old_tombstones(now)
        if self._pulled_peer is not None and now >= self._answer_due_at:
            # The peer is down or has no capacity to answer, so another peer is used.
            self._sources.pop(self._pulled_peer, None)
            self._pulled_peer = None
            self._schedule_pull(now)
        if (
            self._pull_at is None
            or now < self._pull_at
            or self._pulled_peer is not None
        ):
            return []
        self._pull_at = None
        self._drop_outdated_sources()
        if not self._sources:
            return self._pull_from_random_peer(now) if self._loader is not None else []
        return self._pull_from(self._rng.choice(list(self._sources)), now)

    def _handle_delta(
        self, sender: NodeId, delta: Delta, now: float
    ) -> list[SendToPeer]:
        if sender != self._pulled_peer or self._loader is not None:
            return self._apply(delta, sender, now)
        self._pulled_peer = None
        is_outdated = delta.revision <= self._log.revision
        # Other nodes already have a delta that was pulled, so it is not pushed.
        self._apply(delta, sender, now)
        if is_outdated:
            self._sources.pop(sender, None)
        if self._sources:
            self._schedule_pull(now)
        return []

    def _apply(
        self, delta: Delta, sender: NodeId | None, now: float
    ) -> list[SendToPeer]:
        outcome = self._log.apply(delta, now)
        self._outcomes.append(outcome)
        source = "store" if sender is None else sender
        if sender is None and delta.revision < self._log.revision:
            regressed = RevisionRegressed(source, delta.revision, self._log.revision)
            self._outcomes.append(regressed)
        if sender is not None:
            self.observe_revision(sender, delta.revision, now)
        if not isinstance(outcome, DeltaApplied):
            return []
        self._outcomes.extend(
            item for item in outcome.skipped if item.reason is SkipReason.CONFLICTING
        )
        if self.is_behind:
            self._schedule_pull(now)
        return self._push(delta, sender)

    def _push(self, delta: Delta, sender: NodeId | None) -> list[SendToPeer]:
        excluded = frozenset() if sender is None else frozenset({sender})
        peers = self._pick_peers(1, self._own_domain, excluded)
        excluded |= set(peers)
        peers = peers + self._pick_peers(PUSH_FANOUT - len(peers), None, excluded)
        return [SendToPeer(peer, delta) for peer in peers]

    def _answer_delta_request(
        self, sender: NodeId, request: DeltaRequest, now: float
    ) -> list[SendToPeer]:
        self.observe_revision(sender, request.base_revision, now)
        if not self._take_answer_token(now):
            return []
        delta = self._log.merge_deltas_after(request.base_revision)
        if delta is not None:
            return [SendToPeer(sender, delta)]
        return [SendToPeer(sender, build_chunk(self._log, BEFORE_FIRST_KEY))]

    def _handle_chunk(
        self, sender: NodeId, chunk: SnapshotChunk, now: float
    ) -> list[SendToPeer]:
        if sender != self._pulled_peer:
            return []
        if chunk.after == BEFORE_FIRST_KEY and self._loader is None:
            self._loader = SnapshotLoader(self._log)
        if self._loader is None:
            return []
        outcome = self._loader.load(chunk, now)
        self._pulled_peer = None
        if outcome is None:
            # Each chunk is requested from another peer, to share the cost of answering.
            return self._pull_from_random_peer(now)
        self._outcomes.append(outcome)
        if isinstance(outcome, Malformed):
            self._sources.pop(sender, None)
        if isinstance(outcome, SnapshotLoaded):
            self._loader = None
        self._schedule_pull(now)
        return []

    def _pull_from(self, peer: NodeId, now: float) -> list[SendToPeer]:
        self._pulled_peer = peer
        self._answer_due_at = now + ANSWER_TIMEOUT_S
        if self._loader is not None:
            return [SendToPeer(peer, SnapshotRequest(self._loader.after))]
        return [SendToPeer(peer, DeltaRequest(self._log.revision))]

    def _pull_from_random_peer(self, now: float) -> list[SendToPeer]:
        """Request the next snapshot chunk from a random peer."""
        peers = self._pick_peers(1, None, frozenset())
        if not peers:
            self._schedule_pull(now)
            return []
        return self._pull_from(peers[0], now)

    def _schedule_pull(self, now: float) -> None:
        if self._pull_at is None:
            self._pull_at = now + PULL_DELAY_S + self._rng.uniform(0, PULL_JITTER_S)

    def _drop_outdated_sources(self) -> None:
        if self._loader is not None:
            return
        for node_id, revision in list(self._sources.items()):
            if revision <= self._log.revision:
                del self._sources[node_id]

    def _take_answer_token(self, now: float) -> bool:
        refill = (now - self._refilled_at) * ANSWERS_PER_S
        self._answer_tokens = min(
            MAX_ANSWER_BURST, self._answer_tokens + max(0.0, refill)
        )
        self._refilled_at = now
        if self._answer_tokens < 1:
            return False
        self._answer_tokens -= 1
        return True
