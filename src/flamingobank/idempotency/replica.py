"""Store the records of other keepers and answer for keepers that are lost."""

from flamingobank.core import Fingerprint, NodeId, RefusalCause
from flamingobank.idempotency.keys import (
    IssuedKey,
    KeeperName,
    shorten_fingerprint,
)
from flamingobank.idempotency.messages import (
    KeyRecord,
    KeyRecordAck,
    KeyRejected,
    OutcomeUnknown,
    Replay,
)
from flamingobank.idempotency.table import AnswerCache, KeyEntry, KeyState, KeyTable

MAX_ANSWER_BYTES = 16_384
MAX_ANSWERS_BYTES = 4_194_304
# Enough for the keys of about three keepers over a day, at 233,000 keys each.
MAX_KEYS = 700_000


class ReplicaRecords:
    """Store replicated records; they never permit a request to run."""

    def __init__(self, node: NodeId) -> None:
        self.refused = 0
        self._node = node
        self._tables: dict[KeeperName, KeyTable] = {}
        self._answers = AnswerCache(MAX_ANSWERS_BYTES, MAX_ANSWER_BYTES)

    def on_record(self, record: KeyRecord) -> KeyRecordAck | None:
        """Store a record unless a newer one is known; return None at the key limit."""
        table = self._tables.get(record.key_id.keeper)
        if table is None:
            if sum(len(each) for each in self._tables.values()) >= MAX_KEYS:
                self.refused += 1
                return None
            table = self._tables[record.key_id.keeper] = KeyTable()
        current = table.get(record.key_id.sequence)
        if current.state is KeyState.FRESH or record.version > _get_version(current):
            entry = KeyEntry(
                record.state, record.generation, record.status, record.fingerprint
            )
            table.set(record.key_id.sequence, entry, record.expiry_s)
            self._answers.put(record.key_id, record.answer)
        return KeyRecordAck(record.key_id, record.version, self._node)

    def answer(
        self, issued: IssuedKey, fingerprint: Fingerprint
    ) -> Replay | OutcomeUnknown | KeyRejected:
        """Answer for an unreachable keeper; only a recorded end is certain."""
        table = self._tables.get(issued.keeper, KeyTable())
        entry = table.get(issued.sequence)
        if entry.state is not KeyState.DONE:
            return OutcomeUnknown(RefusalCause.KEEPER_LOST)
        if entry.fingerprint != shorten_fingerprint(fingerprint):
            detail = "the key was used for another request"
            return KeyRejected(RefusalCause.KEY_INVALID, detail)
        return Replay(entry.status, self._answers.get(issued.key_id))

    def trim(self, expired_before_s: float) -> None:
        """Remove keys that expired before a wall clock time."""
        for keeper, table in list(self._tables.items()):
            table.trim(expired_before_s)
            if not len(table):
                del self._tables[keeper]


def _get_version(entry: KeyEntry) -> int:
    """Return the version of the record from which an entry was stored."""
    if entry.state is KeyState.RUNNING:
        return 2 * entry.generation
    if entry.state is KeyState.NOT_RUN:
        return 2 * entry.generation - 1
    return 2 * entry.generation + 1
