"""Compare the packed directory with a plain dictionary of updates."""

from behave import given, then
from hypothesis import given as given_data, settings, strategies as st

from flamingobank.directory import DirectoryTable
from flamingobank.wire import DirectoryUpdate

RUNS = settings(max_examples=150, derandomize=True, database=None, deadline=None)
DOMAINS = ("d1", "d2")
HOMES, SERVICES = ("a", "b", "c"), ("s", "t")
ROWS = st.lists(
    st.tuples(
        st.sampled_from(SERVICES),
        st.integers(0, 3),
        st.integers(0, 12),
        st.lists(st.text(max_size=4), max_size=3),
    ),
    max_size=2,
    unique_by=lambda row: row[0],
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("update", "remove", "restore")),
        st.sampled_from(HOMES),
        st.sampled_from(("1-x", "2-y")),
        st.integers(1, 4),
        st.booleans(),
        st.sampled_from(DOMAINS),
        ROWS,
    ),
    max_size=12,
)


def _make_update(home, boot, sequence, leaving, domain, rows) -> DirectoryUpdate:
    services = [list(row) for row in rows]
    place = (f"ip-{home}", 1, domain, "region")
    return DirectoryUpdate(home, boot, sequence, *place, leaving, services, "ip", 2)


class ModelDirectory:
    """Model of the directory: the newest update of each home and the lost homes."""

    def __init__(self) -> None:
        self.updates: dict[str, DirectoryUpdate] = {}
        self.lost: set[str] = set()

    def apply_step(self, kind, home, *fields) -> None:
        """Apply one step of a random sequence."""
        if kind == "remove":
            self.lost.add(home)
        elif kind == "restore":
            self.lost.discard(home)
        else:
            update = _make_update(home, *fields)
            known = self.updates.get(home)
            newer = (update.boot, update.sequence)
            if known is None or newer > (known.boot, known.sequence):
                self.updates[home] = update
                self.lost.discard(home)

    def list_homes(self, service) -> set:
        """Return the homes of a service with their counts and servers."""
        return {
            (home, f"ip-{home}", servers, slots, tuple(instances))
            for home, update in self.updates.items()
            if home not in self.lost and not update.leaving
            for name, servers, slots, instances in update.services
            if name == service
        }


def _check_equal(table: DirectoryTable, model: ModelDirectory) -> None:
    for service in SERVICES:
        found = [
            (home.node, home.address[0], home.servers, home.slots, home.instances)
            for home in table.list_homes(service)
        ]
        assert len(found) == len(set(found)), found
        assert set(found) == model.list_homes(service), (found, model.updates)
    for domain in DOMAINS:
        # Guards against a home that stays listed in its former domain.
        headers = {update.home for update in table.list_headers(domain)}
        updates = model.updates.values()
        assert headers == {u.home for u in updates if u.failure_domain == domain}
    assert {u.home: u for u in table.list_newer({})} == model.updates


@then("random directory updates, losses and returns match a plain dictionary")
def step_random(context):
    @RUNS
    @given_data(STEPS)
    def check(steps):
        # Guards against homes that stay listed after a loss or are listed twice.
        table, model = DirectoryTable(), ModelDirectory()
        for step in steps:
            kind, home, *fields = step
            model.apply_step(kind, home, *fields)
            if kind == "update":
                table.apply(_make_update(home, *fields))
            else:
                getattr(table, kind)(home)
            _check_equal(table, model)
        # Guards against a digest that depends on the order of arrival.
        copy = DirectoryTable()
        for update in reversed(table.list_newer({})):
            copy.apply(update)
        assert copy.compute_digest() == table.compute_digest()
        assert not copy.is_behind(table.summarize())

    check()


@given('a directory that knows home "{home}"')
def step_known(context, home):
    context.directory_table = DirectoryTable()
    context.directory_table.apply(
        _make_update(home, "1-x", 1, False, "d1", [("s", 1, 4, ["i"])])
    )


@then('an update of home "{home}" with {slots:d} slots is refused and the old one kept')
def step_refused(context, home, slots):
    # Guards against a malformed row from a peer that is applied in part.
    table = context.directory_table
    try:
        table.apply(_make_update(home, "1-x", 2, False, "d1", [("s", 1, slots, ["i"])]))
    except ValueError:
        pass
    else:
        raise AssertionError("the update was applied")
    assert [entry.slots for entry in table.list_homes("s")] == [4]
    assert table.summarize() == {home: ["1-x", 1]}
