"""Spread the records of peers and the version of the configuration by datagrams."""

import enum
import random
from collections import deque
from collections.abc import Callable

import msgpack

from flamingobank.core import Clock, Fingerprint, InstanceId, NodeId
from flamingobank.loop import Address, DatagramEndpoint, Poller, Timers
from flamingobank.quarantine import CrashId
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import (
    PeerRecord,
    PeerTable,
    pack_record,
    unpack_record,
)

INTERVAL_S = 0.4
FANOUT = 2
# News is collected for a moment, goes to this many peers, and is repeated in later
# rounds; passing each record on by itself costs bytes with the square of the fleet.
NEWS_DELAY_S = 0.08
NEWS_FANOUT = 3
NEWS_ROUNDS = 4
# A process that starts compares its table with this many peers; rounds do the rest.
FIRST_COMPARISONS = 3
# Keeps a datagram within one packet on common links.
MAX_DATAGRAM_BYTES = 1200
COMPARE_SPACING_S = 0.3
EXPIRE_INTERVAL_S = 5.0
MAX_AGE_S = 3600.0


class DatagramKind(enum.IntEnum):
    """Say what a datagram carries."""

    # The sender's digest and version, with recent news.
    DIGEST = 1
    # Hashes of all records, to find what differs.
    COMPARE = 2
    # Records that the receiver lacks.
    RECORDS = 3
    # A request that seems to have crashed a server.
    CRASH = 4


class PeerGossip:
    """Keep the table of peers alike on all nodes."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
        table: PeerTable,
        address: Address,
    ) -> None:
        self.table = table
        self.on_record: Callable[[PeerRecord], None] = lambda record: None
        self.on_former_record: Callable[[PeerRecord], None] = lambda record: None
        self.on_news: Callable[[PeerRecord, int, float], None] = (
            lambda peer, version, age_s: None
        )
        self.on_crash: Callable[[Fingerprint, InstanceId, CrashId], bool] = (
            lambda fingerprint, instance, crash_id: False
        )
        # Age in seconds of the newest reading of the store that is known of.
        self.read_age: Callable[[], float] = lambda: MAX_AGE_S
        self.version = 0
        self._timers = timers
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._news: deque[list] = deque()
        self._news_queued = False
        self._compared_at = -1.0
        self._endpoint = DatagramEndpoint(poller, address, self._receive)
        timers.call_every(INTERVAL_S, self._run_round)
        timers.call_every(EXPIRE_INTERVAL_S, lambda: table.expire(clock.now()))

    def publish(self, **changes: object) -> None:
        """Tell peers of a change of this process."""
        self.table.change_local(**changes)
        self._spread(self.table.local_record)

    def set_version(self, version: int) -> None:
        """Tell peers of a new version of the configuration."""
        self.version = version
        for peer in self._pick(NEWS_FANOUT):
            self._send_digest(peer)

    def learn(self, records: list[PeerRecord]) -> None:
        """Take records from another source and introduce this process."""
        for record in records:
            self._merge(record, spread=False)
        for peer in self._pick(FIRST_COMPARISONS):
            self._send(peer.address, DatagramKind.COMPARE, self.table.list_hashes())

    def spread_crash(
        self, fingerprint: Fingerprint, instance: InstanceId, crash_id: CrashId
    ) -> None:
        """Tell every peer of a crash; crashes are rare, and each entry decides."""
        for peer in self.table.list_peers():
            self._send(
                peer.address, DatagramKind.CRASH, fingerprint, instance, crash_id
            )

    def leave(self) -> None:
        """Tell peers that this process ends."""
        self.publish(left=True, serving=False)
        for peer in self.table.list_peers():
            self._send_digest(peer)

    def _run_round(self) -> None:
        for peer in self._pick(FANOUT):
            self._send_digest(peer)
        for entry in list(self._news):
            entry[1] -= 1
            if entry[1] <= 0:
                self._news.remove(entry)

    def _pick(self, count: int) -> list[PeerRecord]:
        peers = self.table.list_peers()
        return self._rng.sample(peers, min(count, len(peers)))

    def _spread(self, record: PeerRecord) -> None:
        self._news = deque(
            entry for entry in self._news if entry[0].node != record.node
        )
        self._news.append([record, NEWS_ROUNDS])
        if self._news_queued:
            return
        self._news_queued = True
        self._timers.call_at(self._clock.now() + NEWS_DELAY_S, self._send_news)

    def _send_news(self) -> None:
        self._news_queued = False
        for peer in self._pick(NEWS_FANOUT):
            self._send_digest(peer)

    def _send_digest(self, peer: PeerRecord) -> None:
        records = []
        size = 0
        for record, _ in reversed(self._news):
            packed = pack_record(record)
            size += len(msgpack.packb(packed))
            if size > MAX_DATAGRAM_BYTES:
                break
            records.append(packed)
        self._send(
            peer.address,
            DatagramKind.DIGEST,
            self.table.digest,
            self.version,
            int(1000 * min(MAX_AGE_S, self.read_age())),
            records,
        )

    def _send(self, address: Address, kind: DatagramKind, *fields: object) -> None:
        local_record = self.table.local_record
        data = msgpack.packb((int(kind), local_record.node, fields))
        self._endpoint.send(data, address)

    def _receive(self, data: bytes, address: Address) -> None:
        try:
            number, node, fields = msgpack.unpackb(data)
            kind = DatagramKind(number)
            if kind is DatagramKind.DIGEST:
                digest, version, age_ms, records = fields
                self._take_records(records)
                sender = self.table.find(NodeId(node))
                if sender is not None:
                    self.on_news(sender, version, age_ms / 1000)
                self._compare(digest, address)
            elif kind is DatagramKind.COMPARE:
                self._answer_comparison(fields[0], address)
            elif kind is DatagramKind.RECORDS:
                self._take_records(fields[0])
            else:
                fingerprint, instance, crash_id = fields
                self.on_crash(
                    Fingerprint(fingerprint), InstanceId(instance), CrashId(crash_id)
                )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            self._event_log.warn(
                "gossip:malformed", error=str(error), sender=address[0]
            )

    def _take_records(self, records: list) -> None:
        for values in records:
            self._merge(unpack_record(values))

    def _merge(self, record: PeerRecord, spread: bool = True) -> None:
        if record.node == self.table.local_record.node:
            self._take_own(record)
            return
        if not self.table.merge(record, self._clock.now()):
            return
        self._event_log.event(
            "gossip:peer",
            peer=record.node,
            service=record.service,
            serving=record.serving,
            left=record.left,
            incarnation=record.incarnation,
            revision=record.revision,
        )
        self.on_record(record)
        if spread:
            self._spread(record)

    def _take_own(self, record: PeerRecord) -> None:
        if record.incarnation == self.table.local_record.incarnation:
            return
        # An earlier process of this machine wrote it; it may list departures.
        self.on_former_record(record)
        if self.table.merge(record, self._clock.now()):
            self._event_log.event(
                "gossip:refuted", incarnation=self.table.local_record.incarnation
            )
            self._spread(self.table.local_record)

    def _compare(self, digest: int, address: Address) -> None:
        now = self._clock.now()
        if digest == self.table.digest or now < self._compared_at + COMPARE_SPACING_S:
            return
        self._compared_at = now
        self._send(address, DatagramKind.COMPARE, self.table.list_hashes())

    def _answer_comparison(self, hashes: bytes, address: Address) -> None:
        missing, lacking = self.table.list_missing(hashes)
        batch: list[list] = []
        size = 0
        for record in missing:
            packed = pack_record(record)
            size += len(msgpack.packb(packed))
            if size > MAX_DATAGRAM_BYTES and batch:
                self._send(address, DatagramKind.RECORDS, batch)
                batch, size = [], len(msgpack.packb(packed))
            batch.append(packed)
        if batch:
            self._send(address, DatagramKind.RECORDS, batch)
        now = self._clock.now()
        if lacking and now >= self._compared_at + COMPARE_SPACING_S:
            self._compared_at = now
            self._send(address, DatagramKind.COMPARE, self.table.list_hashes())
