"""Access the platform's object store over HTTP."""

import json
import re
from collections.abc import Callable
from dataclasses import replace
from urllib.parse import quote

from expression import Error, Ok, Result

from flamingobank.platform.configuration import decode_configuration
from flamingobank.platform.documents import decode_document
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import (
    DoneCallback,
    FleetStore,
    FleetStoreError,
    PeersCallback,
    StoreEpoch,
    StorePosition,
    TableCallback,
    TableReading,
)
from flamingobank.sidecar.fleet.peers import PeerRecord, pack_record, unpack_record
from flamingobank.sidecar.fleet.routes import RoutingTable
from flamingobank.store import Transport
from flamingobank.store.calls import Answer, CallFailed, StoreAnswer, StoreCall

OBJECTS_PATH = "/flamingobank/objects"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
PEER_KIND = "sidecars"
READ_TIMEOUT_S = 0.8
# The store itself ends a watch after the requested time; its answer arrives some
# milliseconds later.
WATCH_ANSWER_MARGIN_S = 0.5
JSON_HEADERS = (("Content-Type", "application/json"),)
# What decoding a document of unexpected structure can raise.
MALFORMED_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
# Rises when the store comes back from an older copy. A store without restores may leave
# it out.
EPOCH_HEADER = "store-era"
EPOCH_PATTERN = re.compile(r"[0-9]{1,18}")
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class ObjectStore(FleetStore):
    """Read the configuration and keep one object for each sidecar."""

    def __init__(self, transport: Transport, event_log: EventLog) -> None:
        self.epoch = StoreEpoch(0)
        self._transport = transport
        self._event_log = event_log
        # The revisions of the sidecars' objects as this process last read or wrote
        # them; None for an object whose revision cannot be read.
        self._revisions: dict[str, int | None] = {}

    def read_table(self, callback: TableCallback) -> None:
        """Read the current configuration."""
        call = StoreCall(
            "GET", f"{OBJECTS_PATH}/{CONFIGURATION_KIND}", timeout_s=READ_TIMEOUT_S
        )

        def decode_items(document: dict) -> Result[TableReading, FleetStoreError]:
            return self._decode_reading(document, _list_items)

        self._call_for_table(call, decode_items, callback)

    def await_table(
        self, position: StorePosition, wait_s: float, callback: TableCallback
    ) -> None:
        """Wait for a change of the configuration after a position."""
        target = (
            f"{OBJECTS_PATH}/{CONFIGURATION_KIND}"
            f"?watch={position.revision}&wait-ms={int(wait_s * 1000)}"
        )

        def decode_changes(document: dict) -> Result[TableReading, FleetStoreError]:
            if position.epoch != self.epoch:
                # The answer has the changes since another point with this revision.
                return Error(FleetStoreError.HISTORY_GONE)
            return self._decode_reading(document, _list_changed)

        call = StoreCall("GET", target, timeout_s=wait_s + WATCH_ANSWER_MARGIN_S)
        self._call_for_table(call, decode_changes, callback)

    def list_peers(self, callback: PeersCallback) -> None:
        """Read the records of all sidecars, page by page."""
        self._list_page("", [], callback)

    def save_peer(
        self, record: PeerRecord, timeout_s: float, callback: DoneCallback
    ) -> None:
        """Write a record, unless it was written since it was last listed or saved."""

        def finish(result: Result[dict, FleetStoreError]) -> None:
            if result.is_ok():
                self._note_revision(result.ok)
            callback(result.map(_discard_value))

        def create() -> None:
            body = _encode_peer(record, None)
            path = f"{OBJECTS_PATH}/{PEER_KIND}"
            self._call(StoreCall("POST", path, JSON_HEADERS, body, timeout_s), finish)

        def create_if_absent(result: Result[dict, FleetStoreError]) -> None:
            if result.is_error() and result.error is FleetStoreError.NOT_FOUND:
                self._revisions.pop(record.node, None)
                create()
                return
            finish(result)

        if record.node not in self._revisions:
            create()
            return
        body = _encode_peer(record, self._revisions[record.node])
        path = _make_peer_path(record)
        self._call(
            StoreCall("PUT", path, JSON_HEADERS, body, timeout_s), create_if_absent
        )

    def remove_peer(self, record: PeerRecord, callback: DoneCallback) -> None:
        """Remove a record, unless it was written since it was last listed or saved."""
        revision = self._revisions.get(record.node)
        query = f"?revision={revision}" if revision is not None else ""
        path = f"{_make_peer_path(record)}{query}"
        self._call(
            StoreCall("DELETE", path, timeout_s=READ_TIMEOUT_S),
            lambda result: callback(result.map(_discard_value)),
        )

    def _note_revision(self, item: object) -> None:
        """Note the revision of a sidecar's object that was read or written."""
        try:
            name = item["metadata"]["name"]
            revision = item["metadata"].get("revision")
        except MALFORMED_ERRORS:
            return
        if isinstance(name, str):
            self._revisions[name] = revision if type(revision) is int else None

    def _list_page(
        self, after: str, records: list[PeerRecord], callback: PeersCallback
    ) -> None:
        query = f"?after={quote(after)}" if after else ""

        def add_page(result: Result[dict, FleetStoreError]) -> None:
            if result.is_error():
                callback(Error(result.error))
                return
            try:
                items = _list_items(result.ok)
            except MALFORMED_ERRORS as error:
                self._event_log.warn("store:malformed", error=repr(error))
                callback(Error(FleetStoreError.MALFORMED))
                return
            for item in items:
                self._note_revision(item)
                record = self._decode_peer(item)
                if record is not None:
                    records.append(record)
            last_name = _find_last_name(items)
            # A page that ends where it began would come again and again.
            if result.ok.get("has-more") and last_name not in ("", after):
                self._list_page(last_name, records, callback)
                return
            callback(Ok(records))

        self._call(
            StoreCall(
                "GET", f"{OBJECTS_PATH}/{PEER_KIND}{query}", timeout_s=READ_TIMEOUT_S
            ),
            add_page,
        )

    def _call_for_table(
        self,
        call: StoreCall,
        decode: Callable[[dict], Result[TableReading, FleetStoreError]],
        callback: TableCallback,
    ) -> None:
        def receive(answer: Answer) -> None:
            reading = self._decode(call, answer).bind(decode)
            if reading.is_ok():
                reading = Ok(replace(reading.ok, arrived_after=answer.arrived_after))
            callback(reading)

        self._transport.send(call, receive)

    def _call(
        self, call: StoreCall, callback: Callable[[Result[dict, FleetStoreError]], None]
    ) -> None:
        self._transport.send(call, lambda answer: callback(self._decode(call, answer)))

    def _decode(self, call: StoreCall, answer: Answer) -> Result[dict, FleetStoreError]:
        if isinstance(answer, CallFailed):
            self._log_failure(
                call, answer.reason, reused_connection=answer.reused_connection
            )
            if answer.reused_connection:
                return Error(FleetStoreError.CONNECTION_LOST)
            return Error(FleetStoreError.UNAVAILABLE)
        if not self._take_epoch(answer):
            self._log_failure(call, "answer is from before a restore")
            return Error(FleetStoreError.HISTORY_GONE)
        if answer.status == STATUS_GONE:
            self._log_failure(call, "history since the revision is no longer stored")
            return Error(FleetStoreError.HISTORY_GONE)
        if answer.status == STATUS_NOT_FOUND:
            return Error(FleetStoreError.NOT_FOUND)
        if answer.status == STATUS_CONFLICT:
            self._log_failure(call, "object was written since it was read")
            return Error(FleetStoreError.CONFLICT)
        if not 200 <= answer.status < 300:
            self._log_failure(call, f"status {answer.status}")
            return Error(FleetStoreError.UNAVAILABLE)
        try:
            document = decode_document(answer.body) if answer.body else {}
        except ValueError as error:
            self._log_failure(call, f"body is not JSON: {error}")
            return Error(FleetStoreError.MALFORMED)
        if not isinstance(document, dict):
            self._log_failure(call, "body is not a JSON object")
            return Error(FleetStoreError.MALFORMED)
        return Ok(document)

    def _take_epoch(self, answer: StoreAnswer) -> bool:
        """Note the epoch of an answer; return False if it is over."""
        epoch = _read_epoch(answer)
        if epoch is None or epoch == self.epoch:
            return True
        if epoch < self.epoch:
            return False
        self._event_log.event("store:epoch", epoch=epoch, former_epoch=self.epoch)
        self.epoch = epoch
        return True

    def _decode_reading(
        self, document: dict, list_objects: Callable[[dict], list]
    ) -> Result[TableReading, FleetStoreError]:
        revision = document.get("current-rev")
        if not isinstance(revision, int):
            self._event_log.warn("store:malformed", field="current-rev")
            return Error(FleetStoreError.MALFORMED)
        try:
            objects = list_objects(document)
        except MALFORMED_ERRORS as error:
            self._event_log.warn("store:malformed", error=repr(error))
            return Error(FleetStoreError.MALFORMED)
        newest = None
        for item in objects:
            decoded = _decode_item(item)
            if decoded is None:
                continue
            if decoded.is_error():
                self._event_log.warn("store:malformed", error=decoded.error)
                continue
            if newest is None or decoded.ok.version > newest.version:
                newest = decoded.ok
        return Ok(TableReading(newest, StorePosition(self.epoch, revision)))

    def _decode_peer(self, item: dict) -> PeerRecord | None:
        try:
            record = unpack_record(item["specification"]["record"])
            if item["metadata"]["name"] != record.node:
                raise ValueError(f"the record of {record.node} has another's name")
        except MALFORMED_ERRORS as error:
            self._event_log.warn("store:malformed", error=f"{error!r:.200}")
            return None
        return record

    def _log_failure(self, call: StoreCall, reason: str, **details: object) -> None:
        self._event_log.event(
            "store:call-failed",
            call=f"{call.method} {call.target}",
            reason=reason,
            **details,
        )


def _read_epoch(answer: StoreAnswer) -> StoreEpoch | None:
    """Return the epoch that an answer names, or None if it names no valid one."""
    text = answer.headers.get(EPOCH_HEADER, "")
    if not EPOCH_PATTERN.fullmatch(text):
        return None
    return StoreEpoch(int(text))


def _list_items(document: dict) -> list:
    items = document.get("items") or []
    if not isinstance(items, list):
        raise ValueError(f"items is {type(items).__name__}, expected a list")
    return items


def _find_last_name(items: list) -> str:
    """Return the last name of a page that can be sent to continue, "" if none can."""
    for item in reversed(items):
        try:
            name = item["metadata"]["name"]
            name.encode()
        except MALFORMED_ERRORS:
            continue
        return name
    return ""


def _list_changed(document: dict) -> list:
    return [
        event["object"]
        for event in document.get("events") or []
        if not event.get("deleted")
    ]


def _decode_item(item: object) -> Result[RoutingTable, str] | None:
    """Return the table of a configuration object, None for any other object."""
    try:
        if item["metadata"]["name"] != CONFIGURATION_NAME:
            return None
        return decode_configuration(item["specification"])
    except (KeyError, TypeError) as error:
        return Error(f"object is malformed: {error!r}")


def _encode_peer(record: PeerRecord, revision: int | None) -> bytes:
    """Return the object of a record, to be written over a revision or any."""
    metadata: dict[str, object] = {"name": record.node}
    if revision is not None:
        metadata["revision"] = revision
    return json.dumps(
        {"metadata": metadata, "specification": {"record": pack_record(record)}}
    ).encode()


def _make_peer_path(record: PeerRecord) -> str:
    return f"{OBJECTS_PATH}/{PEER_KIND}/{quote(record.node, safe='')}"


def _discard_value(value: dict) -> None:
    return None
