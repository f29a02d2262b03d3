"""Decide which request may run, for the keys that one process is responsible for.

Another process never takes over the right to run a request while the keeper may be
alive. The right is transferred only when the keeper seals itself, and then to one
successor, which the keeper names once.
"""

from collections.abc import Sequence

from expression import Error, Ok, Result

from flamingobank.core import (
    Disposition,
    Fingerprint,
    Invariant,
    NodeId,
    Refusal,
    RefusalCause,
    check_invariant,
)
from flamingobank.idempotency.adoption import RemoteRuns
from flamingobank.idempotency.handover import Handover, HandoverReceiver
from flamingobank.idempotency.keys import (
    IssuedKey,
    KeeperName,
    issue_batch,
    parse_key,
    shorten_fingerprint,
)
from flamingobank.idempotency.limits import KeeperLimits
from flamingobank.idempotency.messages import (
    HandoverAck,
    HandoverPart,
    KeeperRedirect,
    KeyDecision,
    KeyRecord,
    KeyRecordAck,
    KeyRejected,
    OutcomeUnknown,
    Prepare,
    Replay,
    ResendRequired,
    RunGranted,
    RunRefused,
    SendToNode,
    StillRunning,
)
from flamingobank.idempotency.replication import Replication
from flamingobank.idempotency.table import AnswerCache, KeyEntry, KeyState, KeyTable
from flamingobank.idempotency.transitions import change_entry

MAX_BATCH_KEYS = 1000
MAX_GENERATION = 65535
TRIM_INTERVAL_S = 60.0


class Keeper:
    """Decide about the keys that one process of a node issued or took over.

    ``now`` is a reading of the monotonic clock in seconds. ``wall_offset_s`` is the
    wall clock minus the monotonic clock at the start of the process. It is never
    changed, so that a key that was once seen as expired stays expired here.
    """

    def __init__(
        self,
        name: KeeperName,
        secrets: Sequence[bytes],
        wall_offset_s: float,
        limits: KeeperLimits | None = None,
    ) -> None:
        self.name = name
        self.limits = limits or KeeperLimits()
        self.unreplicated_runs = 0
        self._secrets = tuple(secrets)
        self._wall_offset_s = wall_offset_s
        self._sequence = 0
        self._trim_at = 0.0
        self._tables: dict[KeeperName, KeyTable] = {name: KeyTable()}
        self._answers = AnswerCache(
            self.limits.max_answers_bytes, self.limits.max_answer_bytes
        )
        self._replication = Replication()
        self._handover: Handover | None = None
        self._handover_receiver = HandoverReceiver(name)
        self._remote_runs = RemoteRuns(self._tables, self._answers)

    @property
    def sealed(self) -> bool:
        """Tell whether the keeper has stopped accepting requests for good."""
        return self._handover is not None

    def list_names(self) -> list[KeeperName]:
        """Return the names this process answers for: its own and the adopted ones."""
        return list(self._tables)

    def set_replicas(self, nodes: Sequence[NodeId]) -> None:
        """Set the live nodes that may replicate records, in rank_replicas order."""
        self._replication.candidates = tuple(nodes)

    def issue_keys(self, count: int, now: float) -> Result[list[str], Refusal]:
        """Issue keys that name this process as their keeper."""
        if self.sealed:
            return Error(Refusal(Disposition.NOT_RUN, RefusalCause.DRAINING))
        held = sum(len(table) for table in self._tables.values())
        if not 1 <= count <= MAX_BATCH_KEYS or held >= self.limits.max_keys:
            detail = (
                f"{count} keys requested, 1 to {MAX_BATCH_KEYS} are allowed; "
                f"{held} keys are held"
            )
            return Error(
                Refusal(Disposition.NOT_RUN, RefusalCause.LIMIT, detail=detail)
            )
        first = self._sequence
        self._sequence += count
        expiry_s = int(self._get_wall_time(now)) + self.limits.key_lifetime_s
        return Ok(issue_batch(self._secrets[0], self.name, first, count, expiry_s))

    def accept(
        self,
        key: str,
        fingerprint: Fingerprint,
        now: float,
        generation: int = 0,
        deadline: float = float("inf"),
    ) -> KeyDecision:
        """Decide about a request; on_ack or tick completes a Prepare."""
        parsed = parse_key(key, self._secrets)
        if parsed.is_error():
            return KeyRejected(RefusalCause.KEY_INVALID, str(parsed.error))
        issued = parsed.ok
        table = self._tables.get(issued.keeper)
        if table is None:
            return OutcomeUnknown(RefusalCause.KEEPER_LOST)
        if self._handover is not None:
            return KeeperRedirect(self._handover.successor)
        entry = table.get(issued.sequence)
        short = shorten_fingerprint(fingerprint)
        if entry.state is not KeyState.FRESH and entry.fingerprint != short:
            detail = "the key was used for another request"
            return KeyRejected(RefusalCause.KEY_INVALID, detail)
        if entry.state in (KeyState.FRESH, KeyState.NOT_RUN):
            if self._get_wall_time(now) >= issued.expiry_s:
                return self._decide_expired(issued, now)
            if generation != entry.generation:
                return ResendRequired(entry.generation)
            return self._prepare(issued, entry, short, deadline, now)
        if entry.state is KeyState.DONE:
            return Replay(entry.status, self._answers.get(issued.key_id))
        if entry.state is KeyState.UNKNOWN:
            return OutcomeUnknown(RefusalCause.BROKEN)
        return StillRunning()

    def on_ack(self, ack: KeyRecordAck, now: float) -> RunGranted | RunRefused | None:
        """Handle a replica's confirmation; return its request's decision, if any."""
        pending = self._replication.confirm(ack)
        if pending is None or pending.started:
            return None
        if now >= pending.deadline or self.sealed:
            return self._refuse(pending.run, RefusalCause.DEADLINE)
        return self._start(pending.run)

    def record_done(
        self, run: RunGranted, status: int, answer: bytes, now: float
    ) -> list[SendToNode]:
        """Record that a request ended with a complete answer, kept for replays."""
        self._answers.put(run.key_id, answer)
        return self._end(run, KeyState.DONE, status, now)

    def record_not_run(self, run: RunGranted, now: float) -> list[SendToNode]:
        """Record that no byte of the request reached a server."""
        return self._end(run, KeyState.NOT_RUN, 0, now)

    def record_unknown(self, run: RunGranted, now: float) -> list[SendToNode]:
        """Record that the request may have run but no complete answer arrived."""
        return self._end(run, KeyState.UNKNOWN, 0, now)

    def tick(self, now: float) -> list[SendToNode | RunRefused]:
        """Resend unconfirmed messages and refuse requests that waited too long."""
        effects: list[SendToNode | RunRefused] = []
        sends, overdue = self._replication.tick(now)
        effects += sends
        for pending in overdue:
            effects.append(self._refuse(pending.run, RefusalCause.UNREACHABLE))
        if self._handover is not None:
            effects += self._handover.tick(now)
        if now >= self._trim_at:
            self._trim_at = now + TRIM_INTERVAL_S
            for table in self._tables.values():
                table.trim(self._get_wall_time(now) - self.limits.expired_retention_s)
        return effects

    def seal(
        self, successor: KeeperName | None, now: float
    ) -> list[SendToNode | RunRefused]:
        """Stop accepting requests for good and start the handover to the successor."""
        if self._handover is not None:
            check_invariant(
                Invariant.AT_MOST_ONCE,
                self._handover.successor == successor,
                keeper=self.name,
                successor=self._handover.successor,
                other=successor,
            )
            return []
        effects: list[SendToNode | RunRefused] = []
        for pending in self._replication.list_unstarted():
            effects.append(self._refuse(pending.run, RefusalCause.DRAINING))
        self._handover = Handover(
            self.name, successor, self._tables, self._answers.list_answers()
        )
        return effects + self._handover.tick(now)

    def on_handover_ack(self, ack: HandoverAck) -> bool:
        """Handle the successor's confirmation; if True, the peers must be notified."""
        if self._handover is None or ack.sealed != self.name:
            return False
        return self._handover.confirm(ack)

    def on_handover_part(self, part: HandoverPart, now: float) -> list[SendToNode]:
        """Collect a sealed keeper's records; with all parts, take over its keys."""
        if self.sealed or part.successor != self.name:
            return []
        tables, answers = self._handover_receiver.add_part(part)
        for name, table in tables.items():
            check_invariant(
                Invariant.AT_MOST_ONCE,
                name not in self._tables,
                keeper=self.name,
                adopted=name,
            )
            self._remote_runs.adopt(name, table, part.sealed)
        for key_id, answer in answers:
            self._answers.put(key_id, answer)
        if not self._handover_receiver.is_adopted(part.sealed):
            return []
        return [SendToNode(part.sealed.node, HandoverAck(part.sealed, self.name))]

    def on_record(
        self, record: KeyRecord, sender: NodeId, now: float
    ) -> list[SendToNode]:
        """Record the outcome of a request that a predecessor was still running."""
        table = self._tables.get(record.key_id.keeper)
        if table is None or record.state is KeyState.RUNNING:
            return []
        ack = KeyRecordAck(record.key_id, record.version, self.name.node)
        sends = [SendToNode(sender, ack)]
        if not self._remote_runs.finish(record):
            return sends
        successor = self._get_successor_node()
        return sends + self._replication.send_until_confirmed(record, successor, now)

    def on_keeper_lost(self, lost: KeeperName) -> None:
        """Record as unknown the requests that a lost predecessor was still running."""
        self._remote_runs.abandon(lost)

    def _get_successor_node(self) -> NodeId | None:
        if self._handover is None or self._handover.successor is None:
            return None
        return self._handover.successor.node

    def _get_wall_time(self, now: float) -> float:
        return now + self._wall_offset_s

    def _decide_expired(self, issued: IssuedKey, now: float) -> KeyDecision:
        if (
            self._get_wall_time(now)
            >= issued.expiry_s + self.limits.expired_retention_s
        ):
            return OutcomeUnknown(RefusalCause.KEY_INVALID)
        return KeyRejected(
            RefusalCause.KEY_INVALID, "the key expired and was never run"
        )

    def _prepare(
        self,
        issued: IssuedKey,
        entry: KeyEntry,
        fingerprint: int,
        deadline: float,
        now: float,
    ) -> KeyDecision:
        if entry.generation >= MAX_GENERATION:
            return KeyRejected(
                RefusalCause.LIMIT, f"the key was not run {MAX_GENERATION} times"
            )
        table = self._tables[issued.keeper]
        preparing = KeyEntry(KeyState.PREPARING, entry.generation, 0, fingerprint)
        table.set(issued.sequence, preparing, issued.expiry_s)
        run = RunGranted(issued.key_id, entry.generation, issued.expiry_s)
        if now >= deadline:
            change_entry(self._tables, run, KeyState.PREPARING, KeyState.NOT_RUN)
            return KeyRejected(
                RefusalCause.DEADLINE, "the deadline passed before the run"
            )
        sends = self._replication.begin(run, fingerprint, deadline, now)
        if sends:
            return Prepare(run.key_id, sends)
        # A node without peers has no replica for the record, so the request is started
        # without one. Such a node is the only one whose failure has to be considered.
        self.unreplicated_runs += 1
        return self._start(run)

    def _start(self, run: RunGranted) -> RunGranted:
        check_invariant(Invariant.AT_MOST_ONCE, not self.sealed, run=run)
        change_entry(self._tables, run, KeyState.PREPARING, KeyState.RUNNING)
        self._replication.mark_started(run.key_id)
        return run

    def _refuse(self, run: RunGranted, reason: RefusalCause) -> RunRefused:
        self._replication.remove(run.key_id)
        change_entry(self._tables, run, KeyState.PREPARING, KeyState.NOT_RUN)
        return RunRefused(run.key_id, reason)

    def _end(
        self, run: RunGranted, state: KeyState, status: int, now: float
    ) -> list[SendToNode]:
        entry = change_entry(self._tables, run, KeyState.RUNNING, state, status)
        answer = self._answers.get(run.key_id) if state is KeyState.DONE else None
        return self._replication.end(
            run, entry, answer, self._get_successor_node(), now
        )
