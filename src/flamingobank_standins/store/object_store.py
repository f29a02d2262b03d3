"""Implement the store's object API in memory."""

import json
import random
import re
from collections.abc import Hashable
from dataclasses import dataclass

from flamingobank_standins.store.faults import (
    Counters,
    Outage,
    RateLimiter,
    StoreFaults,
)
from flamingobank_standins.store.messages import HandledCall, ReceivedCall, StoreReply
from flamingobank_standins.store.table import (
    CONFIGURATION_KINDS,
    KINDS,
    ObjectTable,
    StoredObject,
)

MAX_VALUE_BYTES = 1_000_000
MAX_PAGE_ITEMS = 1000
# Limit of the total size of the specs on one page of a listing. It equals the limit of
# a single value, so that clients can bound their buffers.
MAX_PAGE_BYTES = 1_000_000
MAX_WATCH_MS = 60_000
RETRY_AFTER_S = 1

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,252}")
OBJECT_PATH = re.compile(r"/v1/objects/(?P<kind>[a-z]+)/(?P<name>.+)")


@dataclass(slots=True)
class WaitingWatch:
    """A watch that waits for a change after a revision, or for its timeout."""

    after: int
    deadline: float


class ObjectStore:
    """Execute calls on the objects; ``now`` is monotonic, in seconds."""

    def __init__(self, token: str = "", history_limit: int = 10_000, seed: int = 1):
        self.table = ObjectTable(history_limit)
        self.faults = StoreFaults()
        self.counters = Counters()
        self._authorization = f"Bearer {token}" if token else ""
        self._rng = random.Random(seed)
        self._read_limiter = RateLimiter()
        self._write_limiter = RateLimiter()
        self._waiting: dict[Hashable, WaitingWatch] = {}
        self._watch_seconds_counted_until = 0.0

    def handle(
        self, call: ReceivedCall, now: float, call_id: Hashable = None
    ) -> HandledCall:
        """Execute a call.

        ``call_id`` identifies a watch that has to wait, for ``collect_due`` and
        ``drop_watch``.
        """
        self._count_watch_seconds(now)
        refusal = self._refuse(call, now)
        if refusal is not None:
            return refusal
        if call.path == "/v1/watch" and call.method == "GET":
            return self._watch(call, now, call_id)
        reply = self._execute(call)
        return self._apply_response_faults(reply, is_write=call.method != "GET")

    def collect_due(self, now: float) -> list[tuple[Hashable, HandledCall]]:
        """Remove and return the waiting watches that can be answered now."""
        self._count_watch_seconds(now)
        if self.faults.outage == Outage.HANG.value:
            return []
        due = []
        for call_id, watch in list(self._waiting.items()):
            handled = self._finish_watch(watch, now)
            if handled is None:
                continue
            del self._waiting[call_id]
            due.append((call_id, handled))
        self.counters.waiting_watches = len(self._waiting)
        return due

    def get_next_deadline(self) -> float | None:
        """Return when the next waiting watch times out, or None if none waits."""
        return min((watch.deadline for watch in self._waiting.values()), default=None)

    def drop_watch(self, call_id: Hashable, now: float) -> None:
        """Remove a waiting watch whose client disconnected."""
        self._count_watch_seconds(now)
        self._waiting.pop(call_id, None)
        self.counters.waiting_watches = len(self._waiting)

    def _refuse(self, call: ReceivedCall, now: float) -> HandledCall | None:
        if self._authorization and (
            call.headers.get("authorization") != self._authorization
        ):
            return HandledCall(
                StoreReply(401, {"error": "a valid bearer token is expected"})
            )
        if self.faults.outage == Outage.REFUSE.value:
            self.counters.refused_away += 1
            return HandledCall(StoreReply(503, {"error": "the store is away"}))
        if self.faults.outage == Outage.HANG.value:
            self.counters.refused_away += 1
            return HandledCall(waiting=True)
        if self._check_call_rate(call, now):
            return None
        self.counters.throttled += 1
        headers = {"retry-after": str(RETRY_AFTER_S)}
        return HandledCall(
            StoreReply(429, {"error": "the call rate is reached"}, headers)
        )

    def _check_call_rate(self, call: ReceivedCall, now: float) -> bool:
        if call.method != "GET":
            self.counters.writes += 1
            return self._write_limiter.try_acquire(self.faults.writes_per_s, 0, now)
        if call.path == "/v1/watch":
            self.counters.watches += 1
        else:
            self.counters.reads += 1
        waiting = len(self._waiting)
        return self._read_limiter.try_acquire(self.faults.reads_per_s, waiting, now)

    def _apply_response_faults(self, reply: StoreReply, is_write: bool) -> HandledCall:
        faults = self.faults
        lost = self._rng.random() < faults.lose_ratio
        if is_write and faults.lose_next > 0:
            faults.lose_next -= 1
            lost = True
        if lost:
            self.counters.lost_answers += 1
        delay_ms = faults.delay_ms + self._rng.random() * faults.jitter_ms
        return HandledCall(reply, delay_ms / 1000.0, lost)

    def _execute(self, call: ReceivedCall) -> StoreReply:
        if call.path == "/v1/objects" and call.method == "GET":
            return self._list(call)
        match = OBJECT_PATH.fullmatch(call.path)
        if match is None:
            return StoreReply(404, {"error": f"no such path {call.path!r}"})
        kind, name = match["kind"], match["name"]
        if kind not in KINDS:
            return _reject(f"kind {kind!r}: expected one of {', '.join(KINDS)}")
        if not NAME.fullmatch(name) or "//" in name:
            return _reject(f"name {name!r}: expected {NAME.pattern}")
        if call.method == "GET":
            return self._get(kind, name)
        if call.method == "PUT":
            return self._put(kind, name, call)
        if call.method == "DELETE":
            return self._delete(kind, name, call)
        return StoreReply(405, {"error": f"method {call.method!r} is not offered"})

    def _get(self, kind: str, name: str) -> StoreReply:
        found = self.table.get(kind, name)
        if self.faults.stale_next > 0:
            self.faults.stale_next -= 1
            found = self.table.get_previous(kind, name)
        if found is None:
            return StoreReply(404, {"error": f"{kind} {name} does not exist"})
        return StoreReply(200, found.to_json())

    def _put(self, kind: str, name: str, call: ReceivedCall) -> StoreReply:
        if len(call.body) > MAX_VALUE_BYTES:
            size = len(call.body)
            return StoreReply(
                413, {"error": f"{size} bytes, at most {MAX_VALUE_BYTES}"}
            )
        body = _parse_body(call.body)
        if isinstance(body, str):
            return _reject(body)
        current = self.table.get(kind, name)
        problem = _check_condition(call, current)
        if problem is not None:
            return problem
        item = self.table.put(kind, name, body["write_id"], body["spec"])
        return StoreReply(200, {"revision": item.revision})

    def _delete(self, kind: str, name: str, call: ReceivedCall) -> StoreReply:
        current = self.table.get(kind, name)
        if current is None:
            return StoreReply(404, {"error": f"{kind} {name} does not exist"})
        problem = _check_condition(call, current)
        if problem is not None:
            return problem
        return StoreReply(200, {"revision": self.table.delete(kind, name)})

    def _list(self, call: ReceivedCall) -> StoreReply:
        limit = _parse_int(call.query.get("limit", str(MAX_PAGE_ITEMS)))
        kind = call.query.get("kind", "")
        if limit is None or limit < 1:
            return _reject(f"limit {call.query['limit']!r}: expected 1 or more")
        if kind and kind not in KINDS:
            return _reject(f"kind {kind!r}: expected one of {', '.join(KINDS)}")
        limit = min(limit, MAX_PAGE_ITEMS)
        found = self._find_page(kind, call.query.get("after", ""), limit + 1)
        page: list[dict[str, object]] = []
        size = 0
        for item in found[:limit]:
            rendered = item.to_json()
            size += len(json.dumps(rendered["spec"]))
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(rendered)
        next_cursor = None
        if len(page) < len(found):
            last = found[len(page) - 1]
            next_cursor = last.name if kind else f"{last.kind}/{last.name}"
        revision = self._get_listed_revision()
        return StoreReply(
            200, {"revision": revision, "items": page, "next": next_cursor}
        )

    def _find_page(self, kind: str, after: str, limit: int) -> list[StoredObject]:
        if kind:
            return self.table.list_after(kind, after, limit)
        after_kind, _, after_name = after.partition("/")
        found: list[StoredObject] = []
        for candidate_kind in sorted(CONFIGURATION_KINDS):
            if candidate_kind < after_kind:
                continue
            start = after_name if candidate_kind == after_kind else ""
            found += self.table.list_after(candidate_kind, start, limit - len(found))
            if len(found) >= limit:
                break
        return found

    def _get_listed_revision(self) -> int:
        if self.faults.stale_next <= 0:
            return self.table.revision
        self.faults.stale_next -= 1
        return max(0, self.table.revision - 1)

    def _watch(self, call: ReceivedCall, now: float, call_id: Hashable) -> HandledCall:
        after = _parse_int(call.query.get("after", ""))
        timeout_ms = _parse_int(call.query.get("timeout_ms", "0"))
        if after is None or timeout_ms is None:
            return HandledCall(_reject("after and timeout_ms: expected whole numbers"))
        deadline = now + min(timeout_ms, MAX_WATCH_MS) / 1000.0
        watch = WaitingWatch(after, deadline)
        handled = self._finish_watch(watch, now)
        if handled is not None:
            return handled
        self._waiting[call_id] = watch
        self.counters.waiting_watches = len(self._waiting)
        return HandledCall(waiting=True)

    def _finish_watch(self, watch: WaitingWatch, now: float) -> HandledCall | None:
        if self.faults.outage == Outage.REFUSE.value:
            return HandledCall(StoreReply(503, {"error": "the store is away"}))
        if watch.after < self.table.compacted_revision:
            oldest = self.table.compacted_revision
            return HandledCall(StoreReply(410, {"error": f"compacted up to {oldest}"}))
        events = self.table.list_changes(watch.after)
        ahead = watch.after > self.table.revision
        if not events and not ahead and now < watch.deadline:
            return None
        rendered = [change.to_json() for change in events]
        reply = StoreReply(200, {"revision": self.table.revision, "events": rendered})
        return self._apply_response_faults(reply, is_write=False)

    def _count_watch_seconds(self, now: float) -> None:
        waited_s = max(0.0, now - self._watch_seconds_counted_until)
        self.counters.watch_seconds += waited_s * len(self._waiting)
        self._watch_seconds_counted_until = max(self._watch_seconds_counted_until, now)


def _reject(problem: str) -> StoreReply:
    return StoreReply(400, {"error": problem})


def _parse_int(text: str) -> int | None:
    return int(text) if text.isdecimal() else None


def _parse_body(body: bytes) -> dict | str:
    try:
        value = json.loads(body)
    except ValueError as error:
        return f"body: expected JSON, {error}"
    if not isinstance(value, dict) or not isinstance(value.get("spec"), dict):
        return "body: expected an object with spec and write_id"
    if not isinstance(value.get("write_id"), str):
        return "body: expected write_id as text"
    return value


def _check_condition(
    call: ReceivedCall, current: StoredObject | None
) -> StoreReply | None:
    """Return the error response of a write whose condition is missing or false."""
    expected = call.headers.get("if-match")
    if expected is not None:
        condition_holds = current is not None and expected == str(current.revision)
    elif call.headers.get("if-none-match") == "*":
        condition_holds = current is None
    else:
        return StoreReply(428, {"error": "If-Match or If-None-Match: * is expected"})
    if condition_holds:
        return None
    return StoreReply(409, None if current is None else current.to_json())
