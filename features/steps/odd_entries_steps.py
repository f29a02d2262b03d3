"""Check that odd entries in the store do not affect the records of peers."""

import contextlib
import json
import time
import tracemalloc

from behave import given, then, when

from features.steps.sidecar_decisions_steps import make_record
from features.steps.sidecar_fleet_steps import GossipingNode
from features.support.loop import TestLoop
from flamingobank.core import VirtualClock
from flamingobank.platform.documents import decode_document
from flamingobank.platform.store import ObjectStore
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import pack_record
from flamingobank.store import StoreAnswer

NODE, INCARNATION, REVISION, ADDRESS, SERVING, DEPARTURES = 0, 1, 2, 3, 6, 8
PEERS = ("peer-1", "peer-2")
NESTED = "[" * 100_000 + "]" * 100_000


def _make_item(record):
    return {
        "metadata": {"name": record[NODE], "revision": 5},
        "specification": {"record": record},
    }


def _make_peer_item(number):
    record = make_record(PEERS[number], host=f"127.0.0.{number + 2}")
    return _make_item(pack_record(record))


def _make_odd(field, value, name="odd"):
    record = pack_record(make_record("odd", incarnation=9, host="127.0.0.2"))
    record[field] = value
    item = _make_item(record)
    item["metadata"]["name"] = name
    return json.dumps(item)


# Most odd records have the address of the first peer and a later start.
ODDITIES = {
    "100000 nested lists": lambda: NESTED,
    "nested lists as its node": lambda: _make_odd(NODE, "NESTED").replace(
        '"NESTED"', NESTED
    ),
    "a number of 5000 digits": lambda: _make_odd(INCARNATION, "N").replace(
        '"N"', "9" * 5000
    ),
    "an incarnation of 2 to the 64": lambda: _make_odd(INCARNATION, 2**64),
    "an incarnation of 2 to the 63 less 1": lambda: _make_odd(INCARNATION, 2**63 - 1),
    "a negative revision": lambda: _make_odd(REVISION, -1),
    "port 70000": lambda: _make_odd(ADDRESS, ["127.0.0.9", 70000]),
    "port -4": lambda: _make_odd(ADDRESS, ["127.0.0.9", -4]),
    "a host name instead of an address": lambda: _make_odd(
        ADDRESS, ["machine.example", 7380]
    ),
    "a lone surrogate in its node": lambda: _make_odd(NODE, "\ud800", name="\ud800"),
    "a node of 100000 characters": lambda: _make_odd(
        NODE, "x" * 100_000, name="x" * 100_000
    ),
    "another node than its name": lambda: _make_odd(NODE, "other"),
    "a text instead of true": lambda: _make_odd(SERVING, "yes"),
    "1000 departures": lambda: _make_odd(DEPARTURES, [["i-1", n] for n in range(1000)]),
    "bytes that are not UTF-8": lambda: _make_odd(NODE, "LATIN").replace(
        "LATIN", "\udcff"
    ),
    "no name": lambda: '{"specification": {}}',
    "no object": lambda: "7",
}


class ListingTransport:
    """Transport whose store answers each call with the same listing."""

    def __init__(self, items, more):
        self.calls = 0
        body = '{"items": [%s], "has-more": %s, "current-rev": 9}'
        self._body = (body % (", ".join(items), more)).encode(errors="surrogateescape")

    def send(self, call, callback):
        """Answer a call at once."""
        self.calls += 1
        assert self.calls < 10, "the listing does not end"
        callback(StoreAnswer(200, {}, self._body))


def _list_peers(context, items, more="false"):
    context.transport = ListingTransport(items, more)
    results = []
    ObjectStore(context.transport, EventLog("own")).list_peers(results.append)
    return results


@given("a store that lists an entry with {oddity} between the records of two peers")
def step_odd_entry(context, oddity):
    first, second = (json.dumps(_make_peer_item(number)) for number in (0, 1))
    context.items = [first, ODDITIES[oddity](), second]


@when("a process lists the records and merges and gossips them")
def step_list_and_merge(context):
    results = _list_peers(context, context.items)
    assert len(results) == 1 and results[0].is_ok(), results
    loop = TestLoop(VirtualClock(100.0))
    context.node = GossipingNode(loop, "own")
    context.node.gossip.add_records(results[0].ok)
    for _ in range(20):
        loop.advance(0.1)


@then("it knows exactly the two peers, and can send to them")
def step_two_peers(context):
    known = sorted(record.node for record in context.node.table.list_peers())
    assert known == list(PEERS), known
    assert context.node.sent_bytes > 0


@given("a store that lists one page again and again")
def step_same_page(context):
    context.items = [
        json.dumps(_make_peer_item(0)),
        '{"metadata": {"name": "\\ud800"}}',
    ]


@when("a process lists the records")
def step_list(context):
    context.results = _list_peers(context, context.items, more="true")


@then("it gets the records of the page")
def step_page(context):
    assert len(context.results) == 1
    assert {record.node for record in context.results[0].ok} == {PEERS[0]}


LARGE = 1_000_000
LARGE_CONTENTS = {
    "a text without escapes": '"%s"' % ("x" * LARGE),
    "a text of escapes": '"%s"' % ("\\u00e9" * (LARGE // 6)),
    "a text of quotation marks": '"%s"' % ('\\"' * (LARGE // 2)),
    "a text of quotation marks that has no end": '"%s' % ('\\"' * (LARGE // 2)),
    "a text that ends in a backslash": '"%s\\' % ('\\"' * (LARGE // 2)),
    "nested lists": "[" * (LARGE // 2) + "]" * (LARGE // 2),
    "lists and objects by turns": '{"a":[' * (LARGE // 8) + "]}" * (LARGE // 8),
}


@given("a document of 1 MB that the JSON decoder rejects, with {content}")
def step_large_document(context, content):
    document = f'{{"number":{"9" * 5000},"content":{LARGE_CONTENTS[content]}}}'
    context.document = document.encode()


@when("the document is decoded")
def step_decode(context):
    tracemalloc.start()
    started_at = time.process_time()
    # A document without an end is malformed.
    with contextlib.suppress(ValueError):
        decode_document(context.document)
    context.decoding_s = time.process_time() - started_at
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("that took at most {megabytes:d} MB and {seconds:d} seconds")
def step_bounded(context, megabytes, seconds):
    assert context.peak_bytes <= megabytes * 1_000_000, context.peak_bytes
    assert context.decoding_s <= seconds, context.decoding_s
