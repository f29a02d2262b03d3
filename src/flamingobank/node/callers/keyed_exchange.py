"""Send a request with an issued key to its keeper, or to the keeper's replicas."""

from dataclasses import replace

from flamingobank.core import Disposition, NodeId, Refusal, RefusalCause
from flamingobank.idempotency import IssuedKey
from flamingobank.node.callers.caller_exchange import CallerExchange
from flamingobank.node.callers.keyed_requests import KeyedRequests
from flamingobank.node.links.exchange import HomeReport
from flamingobank.node.links.remote import RemoteRequest
from flamingobank.retries import merge_dispositions
from flamingobank.wire import KeyedMode

# Counts the first attempt, redirects to a successor, resends with a new generation, and
# attempts at replicas.
MAX_KEEPER_ATTEMPTS = 8
KEEPER_LOST_REASONS = (RefusalCause.UNREACHABLE, RefusalCause.KEEPER_LOST)


class KeyedCallerExchange(CallerExchange):
    """An exchange for a request with an issued key, which its keeper decides on.

    It follows redirects of the keeper, and asks the replicas if the keeper is lost.
    """

    issued: IssuedKey
    keyed: KeyedRequests

    def __init__(self, *arguments, keyed: KeyedRequests, issued: IssuedKey) -> None:
        super().__init__(*arguments)
        self.keyed = keyed
        self.issued = issued
        self._refusal_count = 0
        self._target = keyed.find_keeper(issued).node
        self._replicas: list[NodeId] | None = None
        self.message.keyed = KeyedMode.KEEPER

    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        if self._ended:
            return
        self._running = None
        if self._head_written:
            self._end("broken")
            self.connection.abort()
            return
        # What is told if the deadline comes before the next attempt.
        self._disposition = merge_dispositions(self._disposition, refusal.disposition)
        self._refusal_count += 1
        if self._refusal_count < MAX_KEEPER_ATTEMPTS and self._choose_next_target(
            refusal
        ):
            self.entry.timers.call_soon(lambda: self._attempt(refusal))
            return
        if refusal.reason in KEEPER_LOST_REASONS:
            detail = "the keeper of the key cannot be reached"
            self._refuse(
                Refusal(Disposition.UNKNOWN, RefusalCause.KEEPER_LOST, 1.0, detail)
            )
            return
        # A replica knows only what the keeper has sent it.
        self._refuse(replace(refusal, disposition=self._disposition))

    def _attempt(self, refusal: Refusal | None) -> None:
        if self._ended:
            return
        remaining_s = max(0.0, self.deadline - self.entry.clock.now())
        self.message.remaining_ms = max(1, int(remaining_s * 1000))
        self.attempts += 1
        keyed = self.keyed
        if self._target == keyed.name.node:
            serve = keyed.serve if self._replicas is None else keyed.replay
            self._running = serve(self.message, self.body, self)
            return
        address = self.entry.find_address(self._target)
        if address is None:
            detail = f"node {self._target} is not in service"
            unreachable = Refusal(
                Disposition.UNKNOWN, RefusalCause.UNREACHABLE, 1.0, detail
            )
            self.on_refused(unreachable, HomeReport(0.0, 0))
            return
        link = self.entry.links.get(address)
        self._running = RemoteRequest(link, self.message, self.body, self)

    def _choose_next_target(self, refusal: Refusal) -> bool:
        """Choose the next node to ask; return False if the refusal is final."""
        if refusal.reason is RefusalCause.KEEPER_MOVED:
            self._target = NodeId(refusal.detail)
            return bool(refusal.detail)
        if refusal.reason is RefusalCause.REOPENED:
            self.message.generation = int(refusal.detail)
            return self._has_time()
        if refusal.reason not in KEEPER_LOST_REASONS:
            return False
        return self._choose_replica()

    def _has_time(self) -> bool:
        """Return whether to resend the request with its key's new generation.

        It is resent only in the first half of the time to its deadline.
        """
        now = self.entry.clock.now()
        return now - self.accepted_at < (self.deadline - self.accepted_at) / 2

    def _choose_replica(self) -> bool:
        if self._replicas is None:
            self._replicas = self.keyed.list_replicas(self.issued)
            self.message.keyed = KeyedMode.REPLICA
        if not self._replicas:
            return False
        self._target = self._replicas.pop(0)
        return True
