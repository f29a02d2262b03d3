"""Simulate the platform's object store with revisions, watches and history."""

import enum
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from flamingobank.core import Clock
from flamingobank.loop import Address, Poller, Timers
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.http.http_server import HttpServer

OBJECT_PATH_PREFIX = "/flamingobank/objects/"
MAX_HISTORY_EVENTS = 200
LATE_WRITE_S = 2.0
REQUEST_LIMITS = RequestLimits()


class StoreMode(enum.Enum):
    """How the store treats calls."""

    SERVING = "serving"
    # Answers every call with status 503.
    BUSY = "busy"
    # Accepts calls and never answers; no call takes effect.
    SILENT = "silent"
    # Resets the connection of every call.
    RESETTING = "resetting"
    # Executes writes, then resets the connection instead of answering.
    LOSING = "losing"
    # Executes writes some seconds later, and never answers them.
    LATE = "late"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's contents, from which it can be restored."""

    revision: int
    objects: dict[tuple[str, str], dict]
    events: list[tuple[int, str, dict]]


@dataclass(slots=True)
class Watch:
    """A watch call that waits for a change of its kind."""

    request: CallerRequest
    kind: str
    revision: int


class PlatformStore:
    """Store objects in memory and serve the object API of the platform."""

    def __init__(
        self, poller: Poller, timers: Timers, clock: Clock, address: Address
    ) -> None:
        self.mode = StoreMode.SERVING
        # Seconds that calls of a method take.
        self.delays_s: dict[str, float] = {}
        self.calls = 0
        # Rises by one with each restore; sent in every answer.
        self.epoch = 1
        self._clock = clock
        self._timers = timers
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._compacted_revision = 0
        self._watches: list[Watch] = []
        self._server = HttpServer(
            poller, timers, clock, address, lambda: REQUEST_LIMITS, self._handle_request
        )
        self.address = self._server.address

    def put(self, kind: str, name: str, specification: object) -> None:
        """Write an object without a call, as an operator of the platform would."""
        self._write(kind, name, specification)

    def compact_history(self) -> None:
        """Drop the history of changes.

        Watches that wait now, and later ones from an older revision, get status 410.
        """
        self._events.clear()
        self._compacted_revision = self._revision
        for watch in self._watches:
            self._answer(watch.request, 410, {})
        self._watches.clear()

    def take_copy(self) -> StoreCopy:
        """Return a copy of the current contents."""
        return StoreCopy(self._revision, dict(self._objects), list(self._events))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, and revisions are given out again.

        Watches that wait are cut off.
        """
        self.epoch += 1
        self._revision = copy.revision
        self._objects = dict(copy.objects)
        self._events = list(copy.events)
        for watch in self._watches:
            watch.request.abort()
        self._watches.clear()

    def find(self, kind: str, name: str) -> dict | None:
        """Return the specification of an object, or None if there is none."""
        found = self._objects.get((kind, name))
        return found["specification"] if found is not None else None

    def _answer(self, request: CallerRequest, status: int, body: object) -> None:
        headers = [(b"store-era", b"%d" % self.epoch)]
        request.answer(status, headers, json.dumps(body).encode())

    def _handle_request(self, request: CallerRequest) -> None:
        self.calls += 1
        delay_s = self.delays_s.get(request.method, 0.0)
        if not delay_s:
            self._execute(request)
            return
        self._timers.call_at(
            self._clock.now() + delay_s, lambda: self._execute(request)
        )

    def _execute(self, request: CallerRequest) -> None:
        if self.mode is StoreMode.SILENT:
            return
        if self.mode is StoreMode.RESETTING:
            request.abort()
            return
        if self.mode is StoreMode.BUSY:
            self._answer(request, 503, {})
            return
        path, _, query = request.target.decode().partition("?")
        kind, _, name = path.removeprefix(OBJECT_PATH_PREFIX).partition("/")
        if request.method == "GET":
            self._handle_read(request, kind, unquote(name), parse_qs(query))
            return
        if self.mode is StoreMode.LATE:
            self._timers.call_at(
                self._clock.now() + LATE_WRITE_S,
                lambda: self._handle_write(request, kind, unquote(name), query),
            )
            return
        status, body = self._handle_write(request, kind, unquote(name), query)
        if self.mode is StoreMode.LOSING:
            request.abort()
            return
        self._answer(request, status, body)

    def _handle_write(
        self, request: CallerRequest, kind: str, name: str, query: str
    ) -> tuple[int, dict]:
        document = json.loads(request.body) if request.body else {}
        if request.method == "POST":
            name = document["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self._write(kind, name, document.get("specification"))
        current = self._objects.get((kind, name))
        if current is None:
            return 404, {}
        expected = document.get("metadata", {}).get("revision")
        if "revision" in parse_qs(query):
            expected = int(parse_qs(query)["revision"][0])
        if expected not in (None, current["metadata"]["revision"]):
            return 409, current
        if request.method == "DELETE":
            del self._objects[kind, name]
            self._record_change(kind, current, deleted=True)
            return 200, current
        return 200, self._write(kind, name, document.get("specification"))

    def _write(self, kind: str, name: str, specification: object) -> dict:
        current = self._objects.get((kind, name))
        if current is not None and current["specification"] == specification:
            return current
        self._revision += 1
        written = {
            "metadata": {"name": name, "revision": self._revision},
            "specification": specification,
            "status": None,
        }
        self._objects[kind, name] = written
        self._record_change(kind, written, deleted=False)
        return written

    def _record_change(self, kind: str, changed: dict, deleted: bool) -> None:
        event = {"object": changed, "deleted": deleted}
        self._events.append((self._revision, kind, event))
        del self._events[:-MAX_HISTORY_EVENTS]
        for watch in [watch for watch in self._watches if watch.kind == kind]:
            self._watches.remove(watch)
            self._answer_watch(watch)

    def _handle_read(
        self, request: CallerRequest, kind: str, name: str, query: dict
    ) -> None:
        if "watch" in query:
            self._start_watch(request, kind, query)
            return
        if name:
            found = self._objects.get((kind, name))
            status = 200 if found else 404
            self._answer(request, status, found or {})
            return
        items = [
            item for (item_kind, _), item in self._objects.items() if item_kind == kind
        ]
        body = {"items": items, "has-more": False, "current-rev": self._revision}
        self._answer(request, 200, body)

    def _start_watch(self, request: CallerRequest, kind: str, query: dict) -> None:
        revision = int(query["watch"][0])
        if not self._compacted_revision <= revision <= self._revision:
            self._answer(request, 410, {})
            return
        watch = Watch(request, kind, revision)
        if self._find_events(watch):
            self._answer_watch(watch)
            return
        self._watches.append(watch)
        wait_s = int(query["wait-ms"][0]) / 1000
        self._timers.call_at(self._clock.now() + wait_s, lambda: self._end_watch(watch))

    def _end_watch(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer_watch(watch)

    def _find_events(self, watch: Watch) -> list[dict]:
        return [
            event
            for revision, kind, event in self._events
            if kind == watch.kind and revision > watch.revision
        ]

    def _answer_watch(self, watch: Watch) -> None:
        if self.mode is not StoreMode.SERVING:
            return
        events = self._find_events(watch)
        body = {"events": events, "current-rev": self._revision}
        self._answer(watch.request, 200, body)
