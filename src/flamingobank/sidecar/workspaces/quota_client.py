"""Get tokens for the requests of one entry from the owners of the quotas."""

from collections.abc import Callable

from flamingobank.core import NodeId, WorkspaceId
from flamingobank.sidecar.workspaces.client_quota import ClientQuota, Question
from flamingobank.sidecar.workspaces.quota_shares import QuotaShares
from flamingobank.sidecar.workspaces.quota_tokens import Denial, Token, Waiter
from flamingobank.sidecar.workspaces.token_bucket import TokenBucket

# A request that states no other time waits for its token this long.
MAX_WAIT_S = 0.15
# A question without an answer after this time is repeated to the next process. Busy
# machines take up to a tenth of a second to answer.
ASK_TIMEOUT_S = 0.12
# Requests that come while a question is open are joined for this time.
JOIN_S = 0.02
# A process that did not answer is not asked again for this time.
AVOIDANCE_S = 0.4
# While no process owns the quota, or after a refusal, the next question waits for this
# time, so that those of many requests are joined. As long as no process owns the quota
# each pause is twice the last one, up to MAX_PAUSE_S.
PAUSE_S = 0.03
MAX_PAUSE_S = 0.12
# What a refused caller is told when no owner has said when a token is expected.
UNKNOWN_RETRY_S = 0.4


class QuotaClient:
    """The tokens and the waiting requests of one entry."""

    def __init__(
        self,
        list_candidates: Callable[[WorkspaceId], list[NodeId]],
        may_ask: Callable[[NodeId], bool],
        find_shares: Callable[[WorkspaceId], QuotaShares | None],
    ) -> None:
        self._list_candidates = list_candidates
        self._may_ask = may_ask
        self._find_shares = find_shares
        self._quotas: dict[WorkspaceId, ClientQuota] = {}
        # Workspaces with waiting requests or an unanswered question.
        self._busy: set[WorkspaceId] = set()

    @property
    def is_busy(self) -> bool:
        """Return whether requests wait for tokens."""
        return bool(self._busy)

    def prepare(self, workspace: WorkspaceId, now: float) -> None:
        """Start counting the fallback tokens of a workspace."""
        if workspace not in self._quotas:
            # The bucket starts empty, since the machine may have used its tokens just
            # before a restart of the process.
            self._quotas[workspace] = ClientQuota(
                TokenBucket(0.0, 0.0, 0.0, now), PAUSE_S
            )
            self._update_fallback(workspace, now)

    def forget(self, kept: set[WorkspaceId]) -> None:
        """Drop workspaces that no longer have a limit."""
        for workspace in list(self._quotas):
            if workspace not in kept and workspace not in self._busy:
                del self._quotas[workspace]

    def find_owner(self, workspace: WorkspaceId) -> NodeId | None:
        """Return the process that is thought to own a quota, or None."""
        quota = self._quotas.get(workspace)
        return None if quota is None else quota.owner

    def take(self, workspace: WorkspaceId, now: float) -> Token | None:
        """Take a token that is at hand."""
        self.prepare(workspace, now)
        quota = self._quotas[workspace]
        quota.note_request(now)
        return quota.pop_token(now)

    def wait(
        self,
        workspace: WorkspaceId,
        on_done: Callable[[Token | Denial], None],
        now: float,
        expires_at: float | None = None,
    ) -> Waiter:
        """Queue a request for a token, by default for MAX_WAIT_S."""
        self.prepare(workspace, now)
        if expires_at is None:
            expires_at = now + MAX_WAIT_S
        waiter = Waiter(workspace, expires_at, on_done)
        self._quotas[workspace].waiters.append(waiter)
        self._busy.add(workspace)
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Drop a request that no longer needs a token."""
        waiter.done = True

    def give_back(self, token: Token, now: float) -> None:
        """Keep a token whose request was not sent, or give it back if it expired."""
        quota = self._quotas.get(token.workspace)
        if quota is None:
            return
        if now < token.expires_at:
            quota.tokens.append(token)
        else:
            quota.unused.append(token)

    def list_questions(
        self, now: float
    ) -> dict[NodeId, list[tuple[WorkspaceId, int, list[float]]]]:
        """Settle what has timed out; return the questions to ask now, by process."""
        questions: dict[NodeId, list[tuple[WorkspaceId, int, list[float]]]] = {}
        for workspace in list(self._busy):
            quota = self._quotas[workspace]
            if self._find_shares(workspace) is None:
                self._release(quota, now)
            self._expire(workspace, quota, now)
            self._serve(quota, now)
            if not quota.waiters and not quota.questions:
                self._busy.discard(workspace)
                quota.pause_s = PAUSE_S
                continue
            waiting = quota.count_unasked()
            if waiting <= 0 or now < quota.ask_after:
                continue
            if quota.questions and now < quota.questions[-1].asked_at + JOIN_S:
                continue
            node = self._choose_node(workspace, quota, now)
            if node is None:
                # Another process may own the quota soon, but not before one may be
                # asked again.
                self._fall_back(quota, quota.find_avoidance_end(now), now)
                continue
            quota.questions.append(Question(node, waiting, now))
            count = waiting + quota.count_prefetched()
            ages = quota.list_unused_ages(node, now)
            questions.setdefault(node, []).append((workspace, count, ages))
        return questions

    def on_grant(
        self,
        workspace: WorkspaceId,
        node: NodeId,
        asked_at: float,
        granted: int,
        retry_s: float,
        now: float,
    ) -> None:
        """Use tokens that an owner granted, and refuse what it did not grant."""
        quota = self._quotas.get(workspace)
        if quota is None:
            return
        shares = self._find_shares(workspace)
        if shares is None:
            return
        expires_at = asked_at + shares.token_age_s
        # Those that came too late are given back.
        for _ in range(granted):
            quota.tokens.append(Token(workspace, expires_at, False, node, asked_at))
        question = quota.close_question(node, asked_at)
        self._serve(quota, now)
        if question is None:
            return
        quota.owner = node
        quota.pause_s = PAUSE_S
        refused = question.waiting - granted
        if refused <= 0:
            return
        quota.ask_after = now + PAUSE_S
        # Requests that came after the question were not refused by it.
        place = 0
        while quota.waiters and place < refused:
            waiter = quota.waiters.popleft()
            if not waiter.done:
                _settle(waiter, Denial(retry_s + place / shares.rate_per_s))
            place += 1

    def on_not_owner(
        self,
        workspace: WorkspaceId,
        node: NodeId,
        asked_at: float,
        holder: NodeId | None,
        now: float,
    ) -> None:
        """Ask the process that may own the quota, or the same one again later."""
        quota = self._quotas.get(workspace)
        if quota is None or quota.close_question(node, asked_at) is None:
            return
        if holder is not None and holder != node:
            # It may have been slow only: a voter had a message of it lately.
            quota.avoided.pop(holder, None)
            quota.owner = holder
            quota.ask_after = now + PAUSE_S / 6
            return
        # A process that stops answers to its end, but is no candidate any more.
        is_candidate = node in self._list_candidates(workspace)
        quota.owner = node if is_candidate else None
        quota.ask_after = now + quota.pause_s
        quota.pause_s = min(MAX_PAUSE_S, 2 * quota.pause_s)

    def _avoid(self, quota: ClientQuota, node: NodeId, now: float) -> None:
        quota.avoided[node] = now + AVOIDANCE_S
        quota.questions = [item for item in quota.questions if item.node != node]
        if quota.owner == node:
            quota.owner = None

    def _choose_node(
        self, workspace: WorkspaceId, quota: ClientQuota, now: float
    ) -> NodeId | None:
        owner = quota.owner
        if owner is not None and self._may_ask(owner) and quota.may_ask(owner, now):
            return owner
        for node in self._list_candidates(workspace):
            if quota.may_ask(node, now):
                return node
        return None

    def _serve(self, quota: ClientQuota, now: float) -> None:
        """Give the tokens at hand to the requests that wait."""
        while quota.waiters:
            if quota.waiters[0].done:
                quota.waiters.popleft()
                continue
            token = quota.pop_token(now)
            if token is None:
                return
            _settle(quota.waiters.popleft(), token)

    def _release(self, quota: ClientQuota, now: float) -> None:
        """Let the requests go that wait for a limit that was removed."""
        while quota.waiters:
            waiter = quota.waiters.popleft()
            if not waiter.done:
                _settle(waiter, Token(waiter.workspace, now))

    def _expire(self, workspace: WorkspaceId, quota: ClientQuota, now: float) -> None:
        while quota.questions and now >= quota.questions[0].asked_at + ASK_TIMEOUT_S:
            self._avoid(quota, quota.questions[0].node, now)
        self._fall_back(quota, now, now)

    def _fall_back(self, quota: ClientQuota, until: float, now: float) -> None:
        """Settle the requests that would wait until a time with the own bucket."""
        for waiter in list(quota.waiters):
            if waiter.expires_at > until:
                continue
            quota.waiters.remove(waiter)
            if waiter.done:
                continue
            shares = self._update_fallback(waiter.workspace, now)
            if shares is not None and quota.fallback.take(1, now):
                expires_at = now + shares.token_age_s
                _settle(waiter, Token(waiter.workspace, expires_at, True))
                continue
            _settle(waiter, Denial(UNKNOWN_RETRY_S, by_owner=False))

    def _update_fallback(
        self, workspace: WorkspaceId, now: float
    ) -> QuotaShares | None:
        """Apply the current share of this entry to its bucket."""
        shares = self._find_shares(workspace)
        if shares is not None:
            self._quotas[workspace].fallback.change(
                shares.fallback_rate_per_s, shares.fallback_capacity, now
            )
        return shares


def _settle(waiter: Waiter, outcome: Token | Denial) -> None:
    waiter.done = True
    waiter.on_done(outcome)
