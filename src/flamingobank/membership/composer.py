"""Build messages that fit into a single datagram."""

from collections.abc import Sequence

from flamingobank.membership.datagrams import (
    DATAGRAM_BYTES,
    HEADER_BYTES,
    measure_member,
)
from flamingobank.membership.messages import (
    Address,
    Member,
    Message,
    SendDatagram,
    StateRequest,
)
from flamingobank.membership.records import Records
from flamingobank.membership.table import BUCKETS

# Maximum size of the message type, sequence, array headers, probe number and flags.
FIXED_FIELDS_BYTES = 40
DIGEST_BYTES = 4 * BUCKETS + 3


class Composer:
    """Builds messages with sender, sequence number and piggybacked updates."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._sequence = 0

    def compute_budget(self, kind: type[Message], *texts: str) -> int:
        """Return the bytes left for updates in a message with the given texts."""
        used = (
            HEADER_BYTES
            + FIXED_FIELDS_BYTES
            + measure_member(self._records.local_member)
        )
        if kind is StateRequest:
            used += DIGEST_BYTES
        for text in texts:
            # A text has a header of at most 3 bytes.
            used += len(text.encode()) + 3
        return DATAGRAM_BYTES - used

    def compose(
        self,
        kind: type[Message],
        address: Address,
        *,
        first: Member | None = None,
        updates: tuple[Member, ...] | None = None,
        **fields: object,
    ) -> SendDatagram:
        """Return a message with the given updates, or otherwise with queued ones.

        first is a record that the message carries before any queued update.
        """
        if updates is None:
            texts = [value for value in fields.values() if isinstance(value, str)]
            if "target_udp" in fields:
                # This address is encoded as an array of host and port. Counting the
                # host as a text that is 4 bytes longer covers the port and the array
                # header.
                texts.append(fields["target_udp"][0] + "port")
            budget = self.compute_budget(kind, *texts)
            members = self._records.table.count_in_service() + 1
            updates = self._records.updates.take(budget, members, first)
        self._sequence += 1
        local_member = self._records.local_member
        message = kind(
            sender=local_member, sequence=self._sequence, updates=updates, **fields
        )
        return SendDatagram(address, message)

    def compose_bounded(
        self, kind: type[Message], address: Address, updates: Sequence[Member]
    ) -> SendDatagram:
        """Return a message with as many of the updates as fit."""
        budget = self.compute_budget(kind)
        chosen: list[Member] = []
        for update in updates:
            budget -= measure_member(update)
            if budget < 0:
                break
            chosen.append(update)
        return self.compose(kind, address, updates=tuple(chosen))
