"""Check commands of several operators against one store."""

import itertools
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as sample, settings, strategies as st

from features.support.desk import (
    Desk,
    check_command,
    check_records,
    open_desk,
    set_write_fault,
)
from flamingobank.objects import parse_manifest

RANDOM_COMMANDS = [
    "apply DIR/fleet.ini",
    "apply DIR/slower.ini",
    "apply DIR/faster.ini",
    "apply --prune DIR/fleet.ini",
    "delete route order-status",
    "rollback route order-status",
]


@given('an empty store and the operators "anna" and "farid"')
def step_desk(context):
    open_desk(context)


@when('"{operator}" runs "{command}" with exit code {code:d}')
def step_run(context, operator, command, code):
    if not hasattr(context, "desk"):
        open_desk(context)
    seen = context.desk.run(operator, command)
    assert seen == code, (seen, context.desk.out, context.desk.err)


@then('"{operator}" running "{command}" exits with {code:d} and prints ""')
def step_run_silent(context, operator, command, code):
    step_run(context, operator, command, code)
    assert context.desk.out == "", context.desk.out


@then('the last output has "{text}"')
def step_output(context, text):
    assert text in context.desk.out, (context.desk.out, context.desk.err)


@then('the last output lacks "{text}"')
def step_output_lacks(context, text):
    assert text not in context.desk.out, context.desk.out


@then('the last error has "{text}"')
def step_error(context, text):
    assert text in context.desk.err, (context.desk.out, context.desk.err)


@then('the last text has "{text}"')
def step_text(context, text):
    assert text in context.desk.out + context.desk.err, context.desk.err


@then("the store is at revision {revision:d}")
def step_revision(context, revision):
    assert context.desk.store.backend.table.revision == revision


@then('the store holds "{titles}"')
def step_holds(context, titles):
    kinds = ("service", "route", "workspace")
    seen = [f"{kind} {name}" for kind in kinds for name in context.desk.list_kind(kind)]
    assert seen == titles.split(", "), seen


@then('the stored "{kind}" "{name}" has "{key}" "{value}"')
def step_stored(context, kind, name, key, value):
    item = context.desk.list_kind(kind)[name]
    assert item.spec[key] == value, item


@then("every object of the store has a history and an audit entry")
def step_records(context):
    check_records(context.desk)


@then('the history of "{kind}" "{name}" has {count:d} confirmed entries')
def step_history(context, kind, name, count):
    assert context.desk.run("anna", f"history {kind} {name}") == 0, context.desk.err
    rows = context.desk.out.splitlines()[1:]
    confirmed = [row for row in rows if row[0].isdigit()]
    assert len(rows) == len(confirmed) == count, context.desk.out


@then('the last history of "{kind}" "{name}" has "{text}"')
def step_last_history(context, kind, name, text):
    assert context.desk.run("anna", f"history {kind} {name}") == 0, context.desk.err
    assert text in context.desk.out.splitlines()[-1], context.desk.out


@when('"{other}" runs "{command}" while "{operator}" is about to write a "{target}"')
def step_race(context, other, command, operator, target):
    desk = context.desk

    def write_first(method, kind):
        if kind == target and method != "GET":
            desk.store.hook = lambda method, kind: ""
            assert desk.run(other, command) == 0, desk.err
        return ""

    desk.store.hook = write_first


@when('the history of "{kind}" "{name}" gets an entry of a newer version')
def step_newer_entry(context, kind, name):
    table = context.desk.store.backend.table
    held = table.get("history", f"{kind}/{name}")
    entries = [*held.spec["entries"], {"format": 2}, "text"]
    table.put("history", held.name, "newer", {"entries": entries})
    assert context.desk.run("anna", f"history {kind} {name}") == 0, context.desk.err
    assert len(context.desk.out.splitlines()) == 2, context.desk.out
    assert context.desk.run("anna", "apply DIR/slower.ini") == 0, context.desk.err
    assert "text" in table.get("history", held.name).spec["entries"]


@when('the objects "{first}" and "{second}" are applied {count:d} times in turn')
def step_apply_in_turn(context, first, second, count):
    for _ in range(count):
        for path in (first, second):
            assert context.desk.run("anna", f"apply {path}") == 0, context.desk.err


@when('the answer to a write of "{kind}" is lost, then "{other}" runs "{command}"')
def step_lose_then(context, kind, other, command):
    desk = context.desk

    def run_other(seconds):
        desk.store.hook = lambda method, kind: ""
        desk.sleep = lambda seconds: None
        assert desk.run(other, command) == 0, desk.err

    set_write_fault(desk, kind, iter(["lose"]))
    desk.sleep = run_other


@when(
    '"{operator}" watches "{command}" for {rounds:d} rounds '
    'while "{other}" runs "{change}"'
)
def step_watch(context, operator, command, rounds, other, change):
    desk = context.desk
    left = iter(range(rounds))

    def run_other(seconds):
        turn = next(left)
        if turn == 1:
            assert desk.run(other, change) == 0, desk.err
        if turn == rounds - 1:
            raise KeyboardInterrupt

    desk.sleep = run_other
    try:
        desk.run(operator, command)
    except KeyboardInterrupt:
        context.watched = desk.outs[operator].getvalue()


@then('the watch printed the values "{values}" of deadline_ms')
def step_watched(context, values):
    table = [line.split() for line in context.watched.splitlines()]
    column = table[0].index("deadline_ms")
    shown = [row[column] for row in table if row[0] == "order-status"]
    assert shown == values.split(", "), context.watched


@when("the store is away")
def step_away(context):
    context.desk.store.hook = lambda method, kind: "away"


@when('the store is away for writes of "{kind}"')
def step_away_kind(context, kind):
    set_write_fault(context.desk, kind, itertools.repeat("away"))


@when('the store loses the answers of the next {count:d} writes of "{kind}"')
def step_lose(context, count, kind):
    set_write_fault(context.desk, kind, iter(["lose"] * count))


@when('the store loses the answer to a write of "{kind}" and is away after it')
def step_lose_and_leave(context, kind):
    lost = []

    def choose(method, seen):
        if lost:
            return "away"
        if seen == kind and method != "GET":
            lost.append(True)
            return "lose"
        return ""

    context.desk.store.hook = choose


@then('the last output is a manifest equal to "{path}"')
def step_manifest(context, path):
    text = (context.desk.directory / Path(path).name).read_text()
    wanted = parse_manifest(text, "file").ok
    shown = parse_manifest(context.desk.out, "output").ok
    key = lambda item: (type(item).__name__, item.name)
    assert sorted(shown, key=key) == sorted(wanted, key=key), context.desk.out


@then("{runs:d} random runs of changes, lost answers and outages agree with the store")
def step_random(context, runs):
    commands = st.sampled_from(RANDOM_COMMANDS)
    steps = st.lists(
        st.tuples(
            st.sampled_from(["anna", "farid"]),
            commands,
            st.lists(
                st.sampled_from(["", "", "lose", "vanish", "away", "gone"]), max_size=30
            ),
        ),
        min_size=1,
        max_size=6,
    )

    @settings(max_examples=runs, derandomize=True, database=None, deadline=None)
    @sample(steps)
    def check(steps):
        with tempfile.TemporaryDirectory() as directory:
            desk = Desk(Path(directory))
            for operator, command, faults in steps:
                check_command(desk, operator, command, faults)

    check()
