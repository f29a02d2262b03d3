"""Run requests with caller-chosen keys at most once, by records in the store."""

import base64
import binascii
import time
from collections.abc import Callable
from functools import partial

from expression import Result

from flamingobank.core import (
    Clock,
    Disposition,
    NodeId,
    Refusal,
    RefusalCause,
    WorkspaceId,
)
from flamingobank.directory import HomeEntry
from flamingobank.idempotency import (
    CallerKeyRun,
    CallerKeys,
    KeeperName,
    KeyWrite,
    Replay,
    StillRunning,
    name_caller_key,
)
from flamingobank.loop import Timers
from flamingobank.node.callers.keeper_requests import (
    KeeperRequest,
    RunRecorder,
    SendRequest,
    make_replay,
)
from flamingobank.node.callers.keyed_requests import (
    compute_key_fingerprint,
    make_decision_refusal,
)
from flamingobank.node.knowledge.members import MembershipService
from flamingobank.node.links.exchange import AnswerSink, RunningRequest
from flamingobank.store import GroupBudget, StoreClient, StoredObject
from flamingobank.wire import OpenRequest

KEY_OBJECT_KIND = "key"
KEY_LIFETIME_S = 86_400
# Requests with caller-chosen keys that the whole fleet accepts per second. Each takes
# one write to the store before its run and one after it, a part of the several hundred
# writes per second that the whole fleet may make.
FLEET_KEYS_PER_S = 100.0
DONE, NOT_RUN, UNKNOWN = "done", "not-run", "unknown"
RECORD_TIMEOUT_S = 60.0


class CallerKeyRequests(RunRecorder):
    """Create a key's object in the store before its request runs, then update it."""

    def __init__(
        self,
        owner: KeeperName,
        clock: Clock,
        timers: Timers,
        store: StoreClient,
        members: MembershipService,
        choose_home: Callable[[str, set[NodeId]], HomeEntry | None],
        send: SendRequest,
    ) -> None:
        self.clock = clock
        self.timers = timers
        self.choose_home = choose_home
        self.send = send
        self._store = store
        self._members = members
        count = len(members.membership.members()) + 1
        self._budget = GroupBudget(FLEET_KEYS_PER_S, count, clock.now())
        self._keys = CallerKeys(owner, self._budget)
        self._unrecorded_runs = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no run is in progress or waits to be recorded."""
        return not self._unrecorded_runs

    def serve(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request unless its key has been used."""
        now = self.clock.now()
        self._budget.set_members(len(self._members.membership.members()) + 1, now)
        request = KeeperRequest(self, message, body, sink)
        name = name_caller_key(WorkspaceId(message.workspace), message.key)
        expiry_s = int(time.time()) + KEY_LIFETIME_S
        fingerprint = compute_key_fingerprint(message, body)
        first_decision = self._keys.begin(name, fingerprint, expiry_s, now)
        if not isinstance(first_decision, KeyWrite):
            request.refuse(make_decision_refusal(first_decision))
            return request
        self._write(first_decision, request, sink)
        return request

    def record_done(self, run: CallerKeyRun, status: int, answer: bytes) -> None:
        """Record a complete answer."""
        encoded_answer = base64.b64encode(answer).decode()
        self._record_end(run, DONE, status, encoded_answer)

    def record_not_run(self, run: CallerKeyRun) -> None:
        """Record that no byte of the request reached a server."""
        self._record_end(run, NOT_RUN)

    def record_unknown(self, run: CallerKeyRun) -> None:
        """Record that the request may have run."""
        self._record_end(run, UNKNOWN)

    def _write(self, write: KeyWrite, request: KeeperRequest, sink: AnswerSink) -> None:
        left_s = max(0.05, request.deadline - self.clock.now())
        self._store.put(
            KEY_OBJECT_KIND,
            write.name,
            write.spec,
            partial(self._on_written, write, request, sink),
            expected=write.expected,
            timeout_s=left_s / 2,
            prepaid=True,
        )

    def _on_written(
        self, write: KeyWrite, request: KeeperRequest, sink: AnswerSink, result: Result
    ) -> None:
        decision = self._keys.on_written(write, result, self.clock.now())
        if isinstance(decision, KeyWrite):
            self._write(decision, request, sink)
        elif isinstance(decision, CallerKeyRun):
            self._unrecorded_runs += 1
            request.start(decision)
        elif isinstance(decision, Replay):
            answer = _decode_answer(decision.answer)
            sink.on_start(make_replay(request.message, decision.status, answer))
        elif isinstance(decision, StillRunning) and not self._is_owner_live(
            result.error.current
        ):
            detail = "the node that ran the request is gone"
            request.refuse(
                Refusal(Disposition.UNKNOWN, RefusalCause.KEEPER_LOST, 1.0, detail)
            )
        else:
            request.refuse(make_decision_refusal(decision))

    def _is_owner_live(self, stored: StoredObject | None) -> bool:
        owner = str(stored.spec.get("owner", "")) if stored is not None else ""
        node, _, epoch = owner.rpartition("/")
        local_member = self._members.membership.local_member
        if node == local_member.node_id:
            return epoch == local_member.boot_id
        member = self._members.membership.find(NodeId(node))
        return member is not None and member.is_in_service and member.boot_id == epoch

    def _record_end(
        self, run: CallerKeyRun, state: str, status: int = 0, encoded_answer: str = ""
    ) -> None:
        expiry_s = int(time.time()) + KEY_LIFETIME_S
        write = self._keys.end(run, state, expiry_s, status, encoded_answer)
        self._store.put(
            KEY_OBJECT_KIND,
            write.name,
            write.spec,
            self._on_recorded,
            expected=write.expected,
            timeout_s=RECORD_TIMEOUT_S,
            prepaid=True,
        )

    def _on_recorded(self, result: Result) -> None:
        # If the write failed, the key's object stays in state "running". Once this
        # process has ended, a request with the key is answered as outcome unknown.
        self._unrecorded_runs -= 1


def _decode_answer(answer: bytes | None) -> bytes | None:
    if answer is None:
        return None
    try:
        return base64.b64decode(answer, validate=True)
    except binascii.Error:
        return None
