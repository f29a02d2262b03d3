"""Exchange peer records and the configuration version with peers over UDP."""

import enum
import math
import random
from collections.abc import Callable

import msgpack

from flamingobank.core import Clock, Fingerprint, InstanceId, NodeId
from flamingobank.loop import (
    Address,
    DatagramEndpoint,
    Poller,
    Timers,
    estimate_arrival,
)
from flamingobank.quarantine import CrashId
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import (
    PeerRecord,
    PeerTable,
    pack_record,
    unpack_record,
)
from flamingobank.sidecar.fleet.record_updates import MAX_DATAGRAM_BYTES, RecordUpdates

ROUND_INTERVAL_S = 0.4
ROUND_FANOUT = 2
# Changed records are collected for UPDATE_DELAY_S, sent to UPDATE_FANOUT peers and
# repeated in some rounds. Forwarding each record in a datagram of its own would cost
# bytes that grow with the square of the fleet.
UPDATE_DELAY_S = 0.08
UPDATE_FANOUT = 3
# At least this share of the chosen peers is in the local failure domain, if it has so
# many, since traffic between failure domains costs most.
MIN_LOCAL_SHARE = 0.5
# Peers that sent a digest within this time are taken to be running.
HEARD_WINDOW_S = 1.2
# A new version is sent again after these times, each time to other peers, since the
# peers chosen at first may have vanished.
VERSION_PUSH_DELAYS_S = (0.0, 0.2, 0.4, 0.7)
# A process that starts compares its table of peers with this many of them. The periodic
# rounds find the differences that remain.
INITIAL_COMPARE_FANOUT = 3
MIN_COMPARE_INTERVAL_S = 0.3
EXPIRE_INTERVAL_S = 5.0
MAX_READING_AGE_S = 3600.0
# Sending a datagram takes microseconds. If it took longer than this, the process was
# probably suspended meanwhile.
MAX_SENDING_S = 0.1


class DatagramKind(enum.IntEnum):
    """Kind of a datagram, as sent on the wire."""

    # The sender's digest and configuration version, with recently changed records.
    DIGEST = 1
    # Hashes of all the sender's records, to find differences.
    COMPARE = 2
    # Records that the receiver does not have.
    RECORDS = 3
    # The fingerprint of a request that probably crashed a server.
    CRASH = 4
    # The store lacks the receiver's current record.
    UNSAVED = 5
    # How long ago the store was known to hold the sender's version. It counts once the
    # DIGEST that is sent right after it has arrived. Builds without workspaces take
    # exactly four fields in DIGEST.
    CONFIRMATION = 6


class PeerGossip:
    """Synchronise the table of peers between all nodes."""

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
        self.on_previous_record: Callable[[PeerRecord], None] = lambda record: None
        self.on_digest: Callable[[PeerRecord, int, float], None] = (
            lambda peer, version, age_s: None
        )
        self.on_crash: Callable[[Fingerprint, InstanceId, CrashId], bool] = (
            lambda fingerprint, instance, crash_id: False
        )
        self.on_unsaved: Callable[[], None] = lambda: None
        # Returns the age in seconds of the fleet's newest known reading of the store.
        self.get_reading_age_s: Callable[[], float] = lambda: MAX_READING_AGE_S
        # Returns the time in seconds since the store was known to hold the version in
        # force; None where that is not needed.
        self.get_confirmation_age_s: Callable[[], float | None] = lambda: None
        # Called with a version, a time at which the store held it, and who reported it.
        self.on_confirmation: Callable[[int, float, NodeId], None] = (
            lambda version, at, peer: None
        )
        self.version = 0
        self._timers = timers
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._updates = RecordUpdates()
        self._updates_scheduled = False
        self._compared_at = -1.0
        self._heard_at: dict[NodeId, float] = {}
        # The version and time of confirmations whose digest is still to arrive.
        self._unfinished_confirmations: dict[NodeId, tuple[int, float]] = {}
        self._endpoint = DatagramEndpoint(poller, address, self._receive)
        timers.call_every(ROUND_INTERVAL_S, self._run_round)
        timers.call_every(EXPIRE_INTERVAL_S, self._expire)

    def publish(self, **changes: object) -> None:
        """Change the local record and send it to peers."""
        self.table.update_local(**changes)
        self._queue_update(self.table.local_record)

    def set_version(self, version: int) -> None:
        """Set the version of the configuration and send it to some peers."""
        self.version = version
        now = self._clock.now()
        for delay_s in VERSION_PUSH_DELAYS_S:
            self._timers.call_at(now + delay_s, lambda: self._push_version(version))

    def _push_version(self, version: int) -> None:
        if version == self.version:
            self._send_digests()

    def _send_digests(self) -> None:
        for peer in self._choose_peers(UPDATE_FANOUT):
            self._send_digest(peer)

    def announce_reading(self) -> None:
        """Tell some peers how old the newest reading of the store is."""
        self._send_digests()

    def send_updates(self) -> None:
        """Send recently changed records to some peers now."""
        self._send_digests()

    def add_records(self, records: list[PeerRecord]) -> None:
        """Merge records from another source and compare tables with some peers.

        The comparison also makes this process known to them.
        """
        for record in records:
            self._merge(record, forward=False)
        for peer in self._choose_peers(INITIAL_COMPARE_FANOUT):
            self._send(peer.address, DatagramKind.COMPARE, self.table.list_hashes())

    def broadcast_crash(
        self, fingerprint: Fingerprint, instance: InstanceId, crash_id: CrashId
    ) -> None:
        """Send a crash report to every peer.

        Crashes are rare, and each entry decides by itself which requests to refuse.
        """
        for peer in self.table.list_peers():
            self._send(
                peer.address, DatagramKind.CRASH, fingerprint, instance, crash_id
            )

    def report_unsaved(self, peers: list[PeerRecord]) -> None:
        """Tell peers that the store lacks their current records."""
        for peer in peers:
            self._send(peer.address, DatagramKind.UNSAVED)

    def leave(self) -> None:
        """Notify all peers that this process stops."""
        self.publish(left=True, serving=False)
        for peer in self.table.list_peers():
            self._send_digest(peer)

    def _run_round(self) -> None:
        for peer in self._choose_peers(ROUND_FANOUT):
            self._send_digest(peer)
        self._updates.end_round()

    def _choose_peers(self, count: int) -> list[PeerRecord]:
        """Choose random peers, all but one of them among those heard from lately.

        Records do not tell which peers still run, and when many have vanished, most
        datagrams to peers chosen from all records would be lost.
        """
        peers = self.table.list_peers()
        if len(peers) <= count:
            return peers
        heard = self._list_heard()
        local = [peer for peer in heard if not self._is_remote(peer)]
        local_count = min(int(count * MIN_LOCAL_SHARE), len(local))
        chosen = self._rng.sample(local, local_count)
        others = [peer for peer in heard if peer not in chosen]
        missing_count = min(count - 1 - local_count, len(others))
        chosen += self._rng.sample(others, missing_count)
        while len(chosen) < count:
            peer = self._rng.choice(peers)
            if peer not in chosen:
                chosen.append(peer)
        return chosen

    def _is_remote(self, peer: PeerRecord) -> bool:
        return peer.failure_domain != self.table.local_record.failure_domain

    def _list_heard(self) -> list[PeerRecord]:
        """Return the peers that sent a digest lately and have not left."""
        heard_after = self._clock.now() - HEARD_WINDOW_S
        heard = []
        for node, heard_at in self._heard_at.items():
            record = self.table.find(node)
            if heard_at < heard_after or record is None or record.left:
                continue
            heard.append(record)
        return heard

    def _expire(self) -> None:
        now = self._clock.now()
        self.table.expire(now)
        self._unfinished_confirmations = {
            node: confirmation
            for node, confirmation in self._unfinished_confirmations.items()
            if self.table.find(node) is not None
        }
        self._heard_at = {
            node: heard_at
            for node, heard_at in self._heard_at.items()
            if heard_at >= now - HEARD_WINDOW_S
        }

    def _queue_update(self, record: PeerRecord) -> None:
        is_local = record.node == self.table.local_record.node
        self._updates.add(record, forwarded=not is_local)
        if self._updates_scheduled:
            return
        self._updates_scheduled = True
        self._timers.call_at(self._clock.now() + UPDATE_DELAY_S, self._send_updates)

    def _send_updates(self) -> None:
        self._updates_scheduled = False
        self._send_digests()

    def _send_digest(self, peer: PeerRecord) -> None:
        if not self._send_confirmation(peer):
            return
        self._send(
            peer.address,
            DatagramKind.DIGEST,
            self.table.digest,
            self.version,
            int(1000 * min(MAX_READING_AGE_S, self.get_reading_age_s())),
            self._updates.take(self._is_remote(peer)),
        )

    def _send_confirmation(self, peer: PeerRecord) -> bool:
        """Send the age of the version in force; return whether a digest may follow.

        The age is too low if this process is suspended before the datagram leaves. The
        digest shows the receiver that it was not.
        """
        started_at = self._clock.now()
        age_s = self.get_confirmation_age_s()
        if age_s is None or age_s > MAX_READING_AGE_S:
            return True
        age_ms = math.ceil(1000 * age_s)
        self._send(peer.address, DatagramKind.CONFIRMATION, self.version, age_ms)
        return self._clock.now() <= started_at + MAX_SENDING_S

    def _receive_confirmation(self, node: object, version: int, age_ms: int) -> None:
        _check_numbers(version, age_ms)
        _check_age(age_ms)
        if self.table.find(NodeId(node)) is None:
            return
        # The datagram may have waited in the socket while this process was suspended.
        arrived_after = min(self._clock.now(), self._endpoint.arrived_after)
        self._unfinished_confirmations[NodeId(node)] = (
            version,
            arrived_after - age_ms / 1000,
        )

    def _finish_confirmation(self, node: NodeId) -> None:
        """Use a confirmation whose digest has arrived."""
        confirmation = self._unfinished_confirmations.pop(node, None)
        if confirmation is not None:
            self.on_confirmation(*confirmation, node)

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
                _check_numbers(digest, version, age_ms)
                _check_age(age_ms)
                self._merge_records(records)
                sender = self.table.find(NodeId(node))
                if sender is not None:
                    self._heard_at[sender.node] = self._clock.now()
                    self._finish_confirmation(sender.node)
                    now = self._clock.now()
                    arrived_at = estimate_arrival(self._endpoint.arrived_after, now)
                    age_s = now - arrived_at + age_ms / 1000
                    self.on_digest(sender, version, age_s)
                    if version < self.version:
                        # The sender is known to run, unlike peers chosen at random.
                        self._send_digest(sender)
                self._compare_digest(digest, address)
            elif kind is DatagramKind.COMPARE:
                self._answer_compare(fields[0], address)
            elif kind is DatagramKind.RECORDS:
                self._merge_records(fields[0])
            elif kind is DatagramKind.UNSAVED:
                self.on_unsaved()
            elif kind is DatagramKind.CONFIRMATION:
                self._receive_confirmation(node, *fields)
            else:
                fingerprint, instance, crash_id = fields
                self.on_crash(
                    Fingerprint(fingerprint), InstanceId(instance), CrashId(crash_id)
                )
        except (
            ValueError,
            TypeError,
            AttributeError,
            OverflowError,
            msgpack.UnpackException,
        ) as error:
            self._event_log.warn(
                "gossip:malformed", error=str(error), sender=address[0]
            )

    def _merge_records(self, records: list) -> None:
        for values in records:
            self._merge(unpack_record(values))

    def _merge(self, record: PeerRecord, forward: bool = True) -> None:
        if record.node == self.table.local_record.node:
            self._receive_local_record(record)
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
        if forward:
            self._queue_update(record)

    def _receive_local_record(self, record: PeerRecord) -> None:
        if record.incarnation == self.table.local_record.incarnation:
            return
        # An earlier process on this machine wrote the record. It may list departures.
        self.on_previous_record(record)
        if self.table.merge(record, self._clock.now()):
            self._event_log.event(
                "gossip:refuted", incarnation=self.table.local_record.incarnation
            )
            self._queue_update(self.table.local_record)

    def _compare_digest(self, digest: int, address: Address) -> None:
        now = self._clock.now()
        if (
            digest == self.table.digest
            or now < self._compared_at + MIN_COMPARE_INTERVAL_S
        ):
            return
        self._compared_at = now
        self._send(address, DatagramKind.COMPARE, self.table.list_hashes())

    def _answer_compare(self, hashes: bytes, address: Address) -> None:
        records_for_peer, peer_has_others = self.table.list_missing(hashes)
        batch: list[list] = []
        size = 0
        for record in records_for_peer:
            packed = pack_record(record)
            size += len(msgpack.packb(packed))
            if size > MAX_DATAGRAM_BYTES and batch:
                self._send(address, DatagramKind.RECORDS, batch)
                batch, size = [], len(msgpack.packb(packed))
            batch.append(packed)
        if batch:
            self._send(address, DatagramKind.RECORDS, batch)
        now = self._clock.now()
        if peer_has_others and now >= self._compared_at + MIN_COMPARE_INTERVAL_S:
            self._compared_at = now
            self._send(address, DatagramKind.COMPARE, self.table.list_hashes())


def _check_numbers(*numbers: object) -> None:
    """Raise ValueError unless the numbers of a datagram are possible ones."""
    for number in numbers:
        if type(number) is not int or number < 0:
            raise ValueError(f"datagram has the number {number!r:.80}")


def _check_age(age_ms: int) -> None:
    """Raise ValueError for the age of a reading that no process states."""
    if age_ms > 1000 * MAX_READING_AGE_S:
        raise ValueError(f"datagram has a reading that is {age_ms} ms old")
