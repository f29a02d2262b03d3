"""Transfer a sealed keeper's records to its successor."""

from collections.abc import Mapping, Sequence

from flamingobank.idempotency.keys import KeeperName, KeyId
from flamingobank.idempotency.messages import HandoverAck, HandoverPart, SendToNode
from flamingobank.idempotency.table import KeyTable

# Half of the largest frame between nodes, which is 256 KiB.
MAX_PART_BYTES = 131_072
RESEND_INTERVAL_S = 1.0
CHUNK_IMAGE_BYTES = 3400

Tables = dict[KeeperName, KeyTable]
Answers = Sequence[tuple[KeyId, bytes]]


class Handover:
    """Send the records in parts to the one successor until it confirms them.

    No other successor is ever named: the first may have taken over although its
    confirmation was lost, and then two processes would be keepers of the same keys.
    """

    def __init__(
        self,
        sealed: KeeperName,
        successor: KeeperName | None,
        tables: Mapping[KeeperName, KeyTable],
        answers: Answers,
    ) -> None:
        self.successor = successor
        self.confirmed = False
        self._next_at = 0.0
        self._parts: list[HandoverPart] = []
        if successor is not None:
            self._parts = _split_into_parts(sealed, successor, tables, answers)

    def tick(self, now: float) -> list[SendToNode]:
        """Return the parts to send when they are due and not yet confirmed."""
        if self.confirmed or self.successor is None or now < self._next_at:
            return []
        self._next_at = now + RESEND_INTERVAL_S
        return [SendToNode(self.successor.node, part) for part in self._parts]

    def confirm(self, ack: HandoverAck) -> bool:
        """Handle the successor's confirmation; return True only for the first one."""
        if self.confirmed or ack.successor != self.successor:
            return False
        self.confirmed = True
        self._parts = []
        return True


class HandoverReceiver:
    """Collect handover parts at the successor; apply each handover once."""

    def __init__(self, name: KeeperName) -> None:
        self._name = name
        self._received_parts: dict[KeeperName, dict[int, HandoverPart]] = {}
        self._adopted: set[KeeperName] = set()

    def is_adopted(self, sealed: KeeperName) -> bool:
        """Tell whether the records of a sealed keeper were taken over here."""
        return sealed in self._adopted

    def add_part(self, part: HandoverPart) -> tuple[Tables, Answers]:
        """Add a part; return all tables and answers once no part is missing."""
        # A repeated part must not overwrite records that changed after the handover.
        if part.successor != self._name or part.sealed in self._adopted:
            return {}, ()
        parts = self._received_parts.setdefault(part.sealed, {})
        parts[part.index] = part
        if len(parts) < part.total:
            return {}, ()
        del self._received_parts[part.sealed]
        self._adopted.add(part.sealed)
        tables: Tables = {name: KeyTable() for name in part.keepers}
        answers: list[tuple[KeyId, bytes]] = []
        for index in range(part.total):
            for name, image in parts[index].chunks:
                tables[name].unpack(image)
            answers += parts[index].answers
        return tables, answers


def _split_into_parts(
    sealed: KeeperName,
    successor: KeeperName,
    tables: Mapping[KeeperName, KeyTable],
    answers: Answers,
) -> list[HandoverPart]:
    chunks = [(name, image) for name, each in tables.items() for image in each.pack()]
    chunk_groups = _group_by_size(chunks, lambda chunk: CHUNK_IMAGE_BYTES)
    answer_groups = _group_by_size(list(answers), lambda answer: len(answer[1]))
    contents: list[tuple[list, list]] = [(group, []) for group in chunk_groups]
    contents += [([], group) for group in answer_groups]
    contents = contents or [([], [])]
    total = len(contents)
    keepers = tuple(tables)
    return [
        HandoverPart(
            sealed, successor, index, total, keepers, tuple(images), tuple(kept)
        )
        for index, (images, kept) in enumerate(contents)
    ]


def _group_by_size(items: list, get_size) -> list[list]:
    groups: list[list] = []
    size = MAX_PART_BYTES
    for item in items:
        size += get_size(item)
        if size > MAX_PART_BYTES:
            groups.append([])
            size = get_size(item)
        groups[-1].append(item)
    return groups
