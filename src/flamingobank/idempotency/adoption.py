"""Track requests that a predecessor was still running at its handover."""

from flamingobank.idempotency.keys import KeeperName, KeyId
from flamingobank.idempotency.messages import KeyRecord
from flamingobank.idempotency.table import AnswerCache, KeyEntry, KeyState, KeyTable

Tables = dict[KeeperName, KeyTable]


class RemoteRuns:
    """Track which predecessor still has to report the outcome of which request."""

    def __init__(self, tables: Tables, answers: AnswerCache) -> None:
        self._tables = tables
        self._answers = answers
        self._runs: dict[KeyId, KeeperName] = {}

    def adopt(self, name: KeeperName, table: KeyTable, sealed: KeeperName) -> None:
        """Take over a name's keys; the sealed keeper reports how its requests end."""
        self._tables[name] = table
        for sequence in table.find(KeyState.RUNNING):
            self._runs[KeyId(name, sequence)] = sealed

    def finish(self, record: KeyRecord) -> bool:
        """Record a reported outcome; return False if none was still expected."""
        if self._runs.pop(record.key_id, None) is None:
            return False
        self._answers.put(record.key_id, record.answer)
        entry = KeyEntry(
            record.state, record.generation, record.status, record.fingerprint
        )
        table = self._tables[record.key_id.keeper]
        table.set(record.key_id.sequence, entry, record.expiry_s)
        return True

    def abandon(self, lost: KeeperName) -> None:
        """Record as unknown the requests that a lost predecessor was still running."""
        for key_id, keeper in list(self._runs.items()):
            if keeper != lost:
                continue
            del self._runs[key_id]
            table = self._tables[key_id.keeper]
            current = table.get(key_id.sequence)
            unknown = KeyEntry(
                KeyState.UNKNOWN, current.generation, 0, current.fingerprint
            )
            table.set(key_id.sequence, unknown, expiry_s=0)
