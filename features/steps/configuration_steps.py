"""Compare logs, tables and gossip with simple reference versions."""

import random

from behave import given, then, when
from expression import Error, Ok
from hypothesis import HealthCheck, given as given_data, settings, strategies as st

from benchmarks.events import EventQueue
from flamingobank.configuration import (
    AlreadyApplied,
    ConfigurationChange,
    ConfigurationGossip,
    ConfigurationLog,
    Delta,
    Gap,
    ListingLoader,
    Loading,
    Malformed,
    PackedTables,
    RevisionRegressed,
    SkippedChange,
    SnapshotChunk,
    SnapshotLoaded,
    SnapshotLoader,
    build_chunk,
    log as log_module,
    snapshots,
)
from flamingobank.configuration.packing import unpack_record
from flamingobank.core import InvariantError
from flamingobank.objects import (
    ObjectKind,
    Route,
    Selector,
    Service,
    Workspace,
    parse_selector,
)

PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
MAX_KEY = (1 << 64) - 1


def parse_spec(kind, name, spec):
    """Parse the fields of a spec that these tests use."""
    labels = {k[6:]: v for k, v in spec.items() if k.startswith("label.")}
    if kind is ObjectKind.WORKSPACE:
        return Ok(Workspace(name, labels))
    if kind is ObjectKind.SERVICE:
        return Ok(Service(name, Selector(), labels=labels))
    target = parse_selector(spec.get("target", ""))
    if target.is_error():
        return Error(target.error)
    methods = tuple(item for item in spec.get("methods", "").split(" ") if item)
    return Ok(
        Route(
            name,
            target.ok,
            host=spec.get("host", ""),
            path=spec.get("path", "/"),
            methods=methods,
            headers={k[7:]: v for k, v in spec.items() if k.startswith("header.")},
            callers=parse_selector(spec.get("callers", "")).ok,
        )
    )


def make_log():
    return ConfigurationLog(PackedTables(parse_spec))


def read_tables(tables):
    """Return all objects as a dictionary."""
    changes = [unpack_record(record) for _, record in tables.read_range(-1, MAX_KEY)]
    return {(c.kind, c.name): (c.revision, dict(c.spec)) for c in changes}


class History:
    """All changes that a store accepted, as the reference for the nodes."""

    def __init__(self, rng, names=12):
        self.rng = rng
        self.names = names
        self.changes = []
        self.states = {0: {}}
        self.revision = 0

    def write(self):
        """Accept one random change.

        Revisions may skip numbers, as those of other kinds of objects would.
        """
        state = dict(self.states[self.revision])
        kind = self.rng.choice(list(ObjectKind))
        key = (kind, f"n{self.rng.randrange(self.names)}")
        self.revision += self.rng.randint(1, 3)
        spec = {"label.v": str(self.revision), "path": f"/{self.rng.randrange(3)}"}
        if key in state and self.rng.random() < 0.3:
            spec = None
            del state[key]
        else:
            state[key] = (self.revision, spec)
        self.states[self.revision] = state
        self.changes.append(ConfigurationChange(*key, self.revision, spec))

    def delta(self, base, revision):
        """Return the changes between two revisions."""
        wanted = [item for item in self.changes if base < item.revision <= revision]
        return Delta(base, revision, tuple(wanted))

    def state_at(self, revision):
        """Return the objects at a revision."""
        return self.states[max(item for item in self.states if item <= revision)]


@when("random deltas reach a configuration log late, twice and out of order")
def step_deltas(context):
    context.applied = 0

    @settings(PROFILE, max_examples=60)
    @given_data(st.randoms(use_true_random=False))
    def check(rng):
        history = History(rng)
        for _ in range(40):
            history.write()
        points = sorted(history.states)
        log = make_log()
        for _ in range(60):
            near = [point for point in points if abs(point - log.revision) < 25]
            base, revision = sorted(rng.choices(near, k=2))
            before = log.revision
            log.apply(history.delta(base, revision), 0.0)
            assert log.revision >= before
            context.applied += log.revision > before
            assert read_tables(log.tables) == history.state_at(log.revision)

    check()


@then("the packed tables always equal a dictionary at the same revision")
def step_equal(context):
    assert context.applied > 300, context.applied


HOSTS = ("", "a.example", "b.a.example", "*.example", "*.a.example", "A.Example")
PATHS = ("/", "/x", "/x/", "/x/y", "/x/y/z", "/xy", "/y")
CALLERS = ("", "tier=gold", "tier", "tier=gold, area!=north", "tier in (gold, tin)")


def _rank_naively(route, host, path):
    pattern = route.host.lower()
    kind = 0 if pattern == host else 1 if pattern else 2
    length = len(route.path.rstrip("/"))
    return (
        kind,
        -length,
        -len(route.headers),
        -len(route.callers.terms),
        route.name,
    )


def _matches_naively(route, host, path, method, headers, labels):
    pattern = route.host.lower()
    if pattern.startswith("*.") and not host.endswith(pattern[1:]):
        return False
    if pattern and not pattern.startswith("*.") and pattern != host:
        return False
    prefix = route.path.rstrip("/")
    if path != prefix and not path.startswith(prefix + "/"):
        return False
    if route.methods and method not in route.methods:
        return False
    if any(headers.get(name) != value for name, value in route.headers.items()):
        return False
    return route.callers.matches(labels)


def _draw_route(rng):
    spec = {"host": rng.choice(HOSTS), "path": rng.choice(PATHS)}
    spec["callers"] = rng.choice(CALLERS)
    spec["target"] = rng.choice(("service=s1", "tier=web", "broken term ="))
    spec["methods"] = rng.choice(("", "GET", "GET POST"))
    if rng.random() < 0.4:
        spec["header.x-kind"] = rng.choice(("a", "b"))
    return spec


@when("random routes are changed and looked up")
def step_routes(context):
    context.found = context.missed = 0

    @settings(PROFILE, max_examples=60)
    @given_data(st.randoms(use_true_random=False))
    def check(rng):
        tables = PackedTables(parse_spec)
        specs = {}
        for revision in range(1, 60):
            name = f"r{rng.randrange(25)}"
            if name in specs and rng.random() < 0.2:
                tables.delete(ObjectKind.ROUTE, name, revision)
                del specs[name]
            else:
                specs[name] = _draw_route(rng)
                tables.put(
                    ConfigurationChange(ObjectKind.ROUTE, name, revision, specs[name])
                )
            _look_up(context, rng, tables, specs)
        _select_services(rng, tables)

    check()


def _look_up(context, rng, tables, specs):
    host = rng.choice(("a.example", "b.a.example", "c.b.a.example", "example", "z"))
    path = rng.choice(("/", "/x", "/x/y", "/x/y/z/w", "/xy", "/x/", "/x/y?q=/z"))
    method = rng.choice(("GET", "POST", "PUT"))
    headers = rng.choice(({}, {"x-kind": "a"}, {"x-kind": "c"}))
    labels = rng.choice(({}, {"tier": "gold"}, {"tier": "tin", "area": "north"}))
    parsed = [parse_spec(ObjectKind.ROUTE, name, spec) for name, spec in specs.items()]
    routes = [item.ok for item in parsed if item.is_ok()]
    clean = path.partition("?")[0]
    matching = [
        route
        for route in routes
        if _matches_naively(route, host, clean.rstrip("/"), method, headers, labels)
    ]
    expected = min(matching, key=lambda r: _rank_naively(r, host, clean), default=None)
    found = tables.find_route(host.upper() + ":80", path, method, headers, labels)
    assert found == expected, (found, expected, host, path)
    context.found += found is not None
    context.missed += found is None


def _select_services(rng, tables):
    labels = {}
    selectors = [parse_selector(text).ok for text in (*CALLERS, "service=s3", "!tier")]
    for revision in range(100, 140):
        name = f"s{rng.randrange(10)}"
        if name in labels and rng.random() < 0.3:
            tables.delete(ObjectKind.SERVICE, name, revision)
            del labels[name]
        else:
            labels[name] = {"tier": rng.choice(("gold", "tin"))}
            if rng.random() < 0.5:
                labels[name]["area"] = "north"
            spec = {f"label.{key}": value for key, value in labels[name].items()}
            tables.put(ConfigurationChange(ObjectKind.SERVICE, name, revision, spec))
        selector = rng.choice(selectors)
        expected = [
            name
            for name in sorted(labels)
            if selector.matches({**labels[name], "service": name})
        ]
        found = [service.name for service in tables.find_services(selector)]
        assert found == expected, (str(selector), found, expected)


@then("each lookup found what a linear scan finds")
def step_scanned(context):
    assert context.found > 500 and context.missed > 500, (context.found, context.missed)


@when("{count:d} workspaces are written and rewritten in the packed tables")
def step_rewrite(context, count):
    context.tables = PackedTables(parse_spec)
    context.expected = {}
    rng = random.Random(1)
    for revision in range(1, 6 * count):
        name = f"w{rng.randrange(count)}"
        spec = {"label.note": "x" * rng.choice((1, 40, 300))}
        if revision == count:
            # Longer than the two-byte length of a record can express.
            spec = {"label.note": "y" * 70_000}
        context.expected[name] = spec
        context.tables.put(
            ConfigurationChange(ObjectKind.WORKSPACE, name, revision, spec)
        )


@then("every workspace holds its last write and the replaced bytes are bounded")
def step_rewritten(context):
    live = 0
    for name, spec in context.expected.items():
        assert context.tables.get(ObjectKind.WORKSPACE, name).spec == spec
        live += len(spec["label.note"])
    for _ in range(2):
        found = context.tables.find_workspace("w1").labels["note"]
        assert found == context.expected["w1"]["label.note"]
    # In each of the 64 shards, replaced records may take up a quarter of the bytes or
    # 16 KiB, whichever is more. 60 bytes per object allow for data besides its note.
    bound = live / 0.75 + 64 * 16_384 + 60 * len(context.expected)
    assert context.tables.bytes_used < bound, (context.tables.bytes_used, bound)


@given('a configuration log at revision 10 with the service "{name}"')
def step_log(context, name):
    context.log = make_log()
    spec = {"label.v": "new"}
    change = ConfigurationChange(ObjectKind.SERVICE, name, 8, spec)
    gone = ConfigurationChange(ObjectKind.SERVICE, "gone", 9, None)
    context.log.apply(Delta(0, 10, (change, gone)), 0.0)
    context.state = read_tables(context.log.tables)


@then("a delta to revision 9 is reported as already applied")
def step_already(context):
    delta = Delta(7, 9, (ConfigurationChange(ObjectKind.SERVICE, "orders", 8, {}),))
    assert context.log.apply(delta, 0.0) == AlreadyApplied(9, 10)


@then("a delta from revision 11 is reported as a gap")
def step_gap(context):
    assert context.log.apply(Delta(11, 12, ()), 0.0) == Gap(11, 10)


@then('a covering delta leaves the newer "{name}" in place')
def step_covering(context, name):
    old = ConfigurationChange(ObjectKind.SERVICE, name, 5, {"label.v": "old"})
    result = context.log.apply(Delta(2, 12, (old,)), 0.0)
    assert result.skipped[0].known == 8 and not result.changes, result
    assert read_tables(context.log.tables) == context.state


@then("a deleted object does not return with a late delta after its tombstone")
def step_tombstone(context):
    context.log.drop_old_tombstones(24 * 3600.0)
    old = ConfigurationChange(ObjectKind.SERVICE, "gone", 4, {"label.v": "old"})
    context.log.apply(Delta(2, 13, (old,)), 24 * 3600.0)
    assert read_tables(context.log.tables) == context.state


@then("a store at revision 3 is reported as regressed")
def step_back(context):
    assert context.log.check_source("store", 3) == RevisionRegressed("store", 3, 13)
    assert context.log.check_source("store", 13) is None


@then("the tables refuse an older object as a broken invariant")
def step_invariant(context):
    for act in (
        lambda: context.log.tables.put(
            ConfigurationChange(ObjectKind.SERVICE, "orders", 7, {})
        ),
        lambda: context.log.tables.delete(ObjectKind.SERVICE, "orders", 7),
        lambda: context.log.advance(12),
    ):
        try:
            act()
        except InvariantError as error:
            assert error.invariant.value == "no_revert"
        else:
            raise AssertionError("the older object was accepted")


@then("malformed deltas and chunks are rejected and change nothing")
def step_hostile(context):
    change = ConfigurationChange(ObjectKind.SERVICE, "orders", 30, {})
    for delta in (Delta(10, 9, ()), Delta(10, 20, (change,)), Delta(30, 31, (change,))):
        assert isinstance(context.log.apply(delta, 0.0), Malformed)
    loader = SnapshotLoader(context.log)
    for chunk in (
        SnapshotChunk(20, 5, MAX_KEY, ()),
        SnapshotChunk(9, -1, MAX_KEY, ()),
        SnapshotChunk(20, -1, 7, (b"\xc1",)),
        SnapshotChunk(20, -1, 7, (b"\x93\x01\x02\x03",)),
        SnapshotChunk(20, -1, 1, build_chunk(context.log, -1).records),
    ):
        assert isinstance(loader.load(chunk, 0.0), Malformed), chunk
    assert read_tables(context.log.tables) == context.state


@when("a node that was away loads a snapshot in parts while its peer changes")
def step_snapshot(context):
    context.loads = 0
    original_chunk_bytes = snapshots.CHUNK_BYTES

    @settings(PROFILE, max_examples=60)
    @given_data(st.randoms(use_true_random=False))
    def check(rng):
        history = History(rng, names=30)
        own, peer = make_log(), make_log()
        for _ in range(60):
            history.write()
        own.apply(history.delta(0, rng.choice(sorted(history.states))), 0.0)
        peer.apply(history.delta(0, history.revision), 0.0)
        loader = SnapshotLoader(own)
        result = None
        while not isinstance(result, SnapshotLoaded):
            history.write()
            peer.apply(history.delta(peer.revision, history.revision), 0.0)
            result = loader.load(build_chunk(peer, loader.after), 0.0)
            if own.is_loading:
                # A delta must wait until the snapshot is loaded: it could restore
                # objects that the snapshot already deleted.
                point = rng.choice([p for p in history.states if p > own.revision])
                early = own.apply(history.delta(own.revision, point), 0.0)
                assert early == Loading(point), early
            assert not isinstance(result, Malformed), result
            context.loads += 1
        own.apply(history.delta(own.revision, history.revision), 0.0)
        assert read_tables(own.tables) == history.state_at(history.revision)
        assert read_tables(own.tables) == read_tables(peer.tables)

    snapshots.CHUNK_BYTES = 200
    try:
        check()
    finally:
        snapshots.CHUNK_BYTES = original_chunk_bytes


@then("both hold the same objects after the remaining deltas")
def step_same(context):
    assert context.loads > 300, context.loads


@when("a configuration log loads pages of a store that deleted objects")
def step_listing(context):
    context.listings = 0

    @settings(PROFILE, max_examples=30)
    @given_data(st.randoms(use_true_random=False))
    def check(rng):
        history = History(rng, names=20)
        log = make_log()
        for _ in range(50):
            history.write()
        log.apply(history.delta(0, rng.choice(sorted(history.states))), 0.0)
        loader = ListingLoader(log, history.revision)
        first = dict(history.states[history.revision])
        keys = sorted(first, key=lambda key: (key[0].value, key[1]))
        while keys:
            page, keys = keys[:7], keys[7:]
            items = [(key, history.states[history.revision].get(key)) for key in page]
            loader.load_page(
                [ConfigurationChange(*k, *held) for k, held in items if held], 0.0
            )
            history.write()
        base = loader.finish(0.0).revision
        log.apply(history.delta(base, history.revision), 0.0)
        assert read_tables(log.tables) == history.state_at(history.revision)
        context.listings += 1

    check()


@then("the packed tables equal the store after the listing")
def step_listed(context):
    assert context.listings >= 30, context.listings


class GossipFleet:
    """Run gossip between nodes over a faulty network in virtual time."""

    def __init__(self, rng, count=8):
        self.rng = rng
        self.queue = EventQueue()
        self.loss = 0.0
        self.down = {}
        self.nodes = {}
        for index in range(count):
            self.restart(f"g{index}")
        self.queue.call_after(0.1, self.tick)

    @property
    def now(self):
        return self.queue.clock.now()

    def restart(self, name):
        """Start a node, or replace its process by one with empty tables."""
        log = make_log()
        domain = f"domain-{int(name[1:]) % 3}"

        def pick(count, outside, excluded):
            names = [
                item
                for item in sorted(self.nodes)
                if item not in {name, *excluded}
                and (outside is None or f"domain-{int(item[1:]) % 3}" != outside)
            ]
            return self.rng.sample(names, min(count, len(names)))

        gossip = ConfigurationGossip(
            log, domain, pick, random.Random(self.rng.random()), self.now
        )
        self.nodes[name] = (log, gossip, {})

    def send(self, name, sends):
        """Send messages over a network that loses, duplicates and reorders them."""
        for item in sends:
            for _ in range(2 if self.rng.random() < 0.1 else 1):
                if self.rng.random() < self.loss:
                    continue
                self.queue.call_after(
                    self.rng.uniform(0.001, 0.2),
                    lambda item=item: self.receive(name, item),
                )

    def receive(self, sender, item):
        if self.down.get(item.node_id, 0) > self.now:
            return
        _, gossip, _ = self.nodes[item.node_id]
        self.send(item.node_id, gossip.handle(sender, item.message, self.now))
        self.check(item.node_id)

    def tick(self):
        self.queue.call_after(0.1, self.tick)
        for name, (_, gossip, _) in list(self.nodes.items()):
            if self.down.get(name, 0) > self.now:
                continue
            other = self.rng.choice(sorted(self.nodes))
            if other != name and self.rng.random() > self.loss:
                # In a real fleet, a membership datagram reports this revision.
                gossip.observe_revision(other, self.nodes[other][0].revision, self.now)
            self.send(name, gossip.tick(self.now))

    def check(self, name):
        """Fail if an object of a node has a lower revision than it had before."""
        log, _, seen = self.nodes[name]
        held = {key: value[0] for key, value in read_tables(log.tables).items()}
        for key, revision in held.items():
            assert revision >= seen.get(key, 0), (name, key, revision, seen[key])
        seen.update(held)


def _apply_action(fleet, history, action):
    name = fleet.rng.choice(sorted(fleet.nodes))
    if action == "write":
        history.write()
        watcher = fleet.nodes[name]
        delta = history.delta(watcher[0].revision, history.revision)
        if fleet.down.get(name, 0) <= fleet.now:
            fleet.send(name, watcher[1].publish(delta, fleet.now))
            fleet.published = max(fleet.published, watcher[0].revision)
    elif action == "restart":
        # Does not restart the only node that has the newest change, because this test
        # has no store from which the change could be read again.
        others = [item[0].revision for key, item in fleet.nodes.items() if key != name]
        if max(others) >= fleet.published:
            fleet.restart(name)
    elif action == "pause":
        fleet.down[name] = fleet.now + fleet.rng.uniform(0.5, 5.0)
    elif action == "lossy":
        fleet.loss = fleet.rng.uniform(0.1, 0.6)
    elif action == "calm":
        fleet.loss = 0.0


@when("configuration gossip runs over networks with random faults")
def step_gossip(context):
    context.revisions = context.snapshots = 0
    original_chunk_bytes = snapshots.CHUNK_BYTES
    original_max_deltas = log_module.MAX_DELTAS
    actions = st.sampled_from(("write", "write", "restart", "pause", "lossy", "calm"))

    @settings(PROFILE, max_examples=30)
    @given_data(st.integers(0, 2**32), st.lists(actions, min_size=25, max_size=50))
    def check(seed, chosen_actions):
        rng = random.Random(seed)
        history = History(rng, names=20)
        fleet = GossipFleet(rng)
        fleet.published = 0
        for action in (*chosen_actions, "calm", "write"):
            _apply_action(fleet, history, action)
            fleet.queue.run_until(fleet.now + rng.uniform(0.0, 2.0))
        fleet.loss = 0.0
        fleet.queue.run_until(fleet.now + 30.0)
        expected = history.state_at(fleet.published)
        for name, (log, gossip, _) in fleet.nodes.items():
            assert log.revision == fleet.published, (name, log.revision)
            assert read_tables(log.tables) == expected, name
            assert not gossip.is_behind
            outcomes = gossip.take_outcomes()
            assert not any(isinstance(item, SkippedChange) for item in outcomes)
            loaded = [item for item in outcomes if isinstance(item, SnapshotLoaded)]
            context.snapshots += len(loaded)
        context.revisions = max(context.revisions, fleet.published)

    # Low limits, so that a few changes already need snapshots of several chunks.
    snapshots.CHUNK_BYTES = 100
    log_module.MAX_DELTAS = 3
    try:
        check()
    finally:
        snapshots.CHUNK_BYTES = original_chunk_bytes
        log_module.MAX_DELTAS = original_max_deltas


@then("every gossip node ended at the last revision without a reverted object")
def step_ended(context):
    assert context.revisions > 10, context.revisions
    assert context.snapshots > 10, context.snapshots
