"""Keep what one entry knows of one workspace's quota."""

from collections import deque
from dataclasses import dataclass, field

from flamingobank.core import NodeId
from flamingobank.sidecar.workspaces.quota_tokens import Token, Waiter
from flamingobank.sidecar.workspaces.token_bucket import TokenBucket

# Tokens are asked for ahead for this much of an entry's own rate, and at most this
# many. Unused tokens are lost to other entries.
PREFETCH_S = 0.1
MAX_PREFETCHED = 4
RATE_TIME_S = 1.0
MAX_UNUSED = 64
# Owners take back no older tokens.
MAX_UNUSED_S = 4.5


@dataclass(slots=True)
class Question:
    """An unanswered question for tokens."""

    node: NodeId
    # Requests that waited when it was asked; a few more tokens may be asked for.
    waiting: int
    asked_at: float


@dataclass(slots=True)
class ClientQuota:
    """What one entry knows of one workspace's quota."""

    fallback: TokenBucket
    # How long to wait before the next question if no process owns the quota.
    pause_s: float
    tokens: deque[Token] = field(default_factory=deque)
    waiters: deque[Waiter] = field(default_factory=deque)
    # Unanswered, the oldest first.
    questions: list[Question] = field(default_factory=list)
    # The process that answered last, or that another one named.
    owner: NodeId | None = None
    avoided: dict[NodeId, float] = field(default_factory=dict)
    ask_after: float = float("-inf")
    # Tokens that expired unused, to be given back with the next question.
    unused: deque[Token] = field(default_factory=lambda: deque(maxlen=MAX_UNUSED))
    recent_rate: float = 0.0
    rated_at: float = 0.0

    def count_unasked(self) -> int:
        """Return how many requests wait that no open question covers."""
        unasked = len(self.waiters)
        for question in self.questions:
            unasked -= question.waiting
        return unasked

    def close_question(self, node: NodeId, asked_at: float) -> Question | None:
        """Remove and return the open question that an answer belongs to."""
        for question in self.questions:
            if (question.node, question.asked_at) == (node, asked_at):
                self.questions.remove(question)
                return question
        return None

    def may_ask(self, node: NodeId, now: float) -> bool:
        """Return whether a process has not just failed to answer."""
        return self.avoided.get(node, now) <= now

    def find_avoidance_end(self, now: float) -> float:
        """Return when the first of the avoided processes may be asked again."""
        end = float("inf")
        for until in self.avoided.values():
            if until > now:
                end = min(end, until)
        return now if end == float("inf") else end

    def pop_token(self, now: float) -> Token | None:
        """Take the oldest token that is still valid."""
        while self.tokens:
            token = self.tokens.popleft()
            if now < token.expires_at:
                return token
            self.unused.append(token)
        return None

    def list_unused_ages(self, node: NodeId, now: float) -> list[float]:
        """Remove the unused tokens, and return the ages of those that a node gave."""
        ages = []
        for token in self.unused:
            if token.node == node and now < token.asked_at + MAX_UNUSED_S:
                ages.append(now - token.asked_at)
        self.unused.clear()
        return ages

    def note_request(self, now: float) -> None:
        """Update the running estimate of the entry's requests a second."""
        passed_s = min(RATE_TIME_S, max(0.0, now - self.rated_at))
        self.recent_rate *= 1 - passed_s / RATE_TIME_S
        self.recent_rate += 1 / RATE_TIME_S
        self.rated_at = now

    def count_prefetched(self) -> int:
        """Return how many tokens to ask for ahead of requests."""
        return min(MAX_PREFETCHED, int(self.recent_rate * PREFETCH_S))
