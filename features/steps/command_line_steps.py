"""Check commands of several operators against one store."""

import itertools
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as sample, settings, strategies as st

from features.support.command_harness import (
    CommandHarness,
    check_command,
    check_records,
    open_harness,
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
def step_harness(context):
    open_harness(context)


@when('"{operator}" runs "{command}" with exit code {code:d}')
def step_run(context, operator, command, code):
    if not hasattr(context, "harness"):
        open_harness(context)
    seen = context.harness.run(operator, command)
    assert seen == code, (seen, context.harness.out, context.harness.err)


@then('"{operator}" running "{command}" exits with {code:d} and prints ""')
def step_run_silent(context, operator, command, code):
    step_run(context, operator, command, code)
    assert context.harness.out == "", context.harness.out


@then('the last output has "{text}"')
def step_output(context, text):
    assert text in context.harness.out, (context.harness.out, context.harness.err)


@then('the last output lacks "{text}"')
def step_output_lacks(context, text):
    assert text not in context.harness.out, context.harness.out


@then('the last error has "{text}"')
def step_error(context, text):
    assert text in context.harness.err, (context.harness.out, context.harness.err)


@then('the last text has "{text}"')
def step_text(context, text):
    assert text in context.harness.out + context.harness.err, context.harness.err


@then("the store is at revision {revision:d}")
def step_revision(context, revision):
    assert context.harness.store.backend.table.revision == revision


@then('the store holds "{titles}"')
def step_holds(context, titles):
    kinds = ("service", "route", "workspace")
    seen = [
        f"{kind} {name}" for kind in kinds for name in context.harness.list_kind(kind)
    ]
    assert seen == titles.split(", "), seen


@then('the stored "{kind}" "{name}" has "{key}" "{value}"')
def step_stored(context, kind, name, key, value):
    item = context.harness.list_kind(kind)[name]
    assert item.spec[key] == value, item


@then("every object of the store has a history and an audit entry")
def step_records(context):
    check_records(context.harness)


@then('the history of "{kind}" "{name}" has {count:d} confirmed entries')
def step_history(context, kind, name, count):
    assert context.harness.run("anna", f"history {kind} {name}") == 0, (
        context.harness.err
    )
    rows = context.harness.out.splitlines()[1:]
    confirmed = [row for row in rows if row[0].isdigit()]
    assert len(rows) == len(confirmed) == count, context.harness.out


@then('the last history of "{kind}" "{name}" has "{text}"')
def step_last_history(context, kind, name, text):
    assert context.harness.run("anna", f"history {kind} {name}") == 0, (
        context.harness.err
    )
    assert text in context.harness.out.splitlines()[-1], context.harness.out


@when('"{other}" runs "{command}" while "{operator}" is about to write a "{target}"')
def step_run_before_write(context, other, command, operator, target):
    harness = context.harness

    def write_first(method, kind):
        if kind == target and method != "GET":
            harness.store.fault_hook = lambda method, kind: ""
            assert harness.run(other, command) == 0, harness.err
        return ""

    harness.store.fault_hook = write_first


@when('the history of "{kind}" "{name}" gets an entry of a newer version')
def step_newer_entry(context, kind, name):
    table = context.harness.store.backend.table
    stored_history = table.get("history", f"{kind}/{name}")
    entries = [*stored_history.spec["entries"], {"format": 2}, "text"]
    table.put("history", stored_history.name, "newer", {"entries": entries})
    assert context.harness.run("anna", f"history {kind} {name}") == 0, (
        context.harness.err
    )
    assert len(context.harness.out.splitlines()) == 2, context.harness.out
    assert context.harness.run("anna", "apply DIR/slower.ini") == 0, context.harness.err
    assert "text" in table.get("history", stored_history.name).spec["entries"]


@when('the objects "{first}" and "{second}" are applied {count:d} times in turn')
def step_apply_in_turn(context, first, second, count):
    for _ in range(count):
        for path in (first, second):
            assert context.harness.run("anna", f"apply {path}") == 0, (
                context.harness.err
            )


@when('the answer to a write of "{kind}" is lost, then "{other}" runs "{command}"')
def step_lose_answer_then_run(context, kind, other, command):
    harness = context.harness

    def run_other(seconds):
        harness.store.fault_hook = lambda method, kind: ""
        harness.sleep = lambda seconds: None
        assert harness.run(other, command) == 0, harness.err

    set_write_fault(harness, kind, iter(["lose-answer"]))
    harness.sleep = run_other


@when(
    '"{operator}" watches "{command}" for {rounds:d} rounds '
    'while "{other}" runs "{change}"'
)
def step_watch(context, operator, command, rounds, other, change):
    harness = context.harness
    rounds_left = iter(range(rounds))

    def run_other(seconds):
        turn = next(rounds_left)
        if turn == 1:
            assert harness.run(other, change) == 0, harness.err
        if turn == rounds - 1:
            raise KeyboardInterrupt

    harness.sleep = run_other
    try:
        harness.run(operator, command)
    except KeyboardInterrupt:
        context.watched = harness.outputs_by_operator[operator].getvalue()


@then('the watch printed the values "{values}" of deadline_ms')
def step_watched(context, values):
    table = [line.split() for line in context.watched.splitlines()]
    column = table[0].index("deadline_ms")
    shown = [row[column] for row in table if row[0] == "order-status"]
    assert shown == values.split(", "), context.watched


@when("the store is unavailable")
def step_unavailable(context):
    context.harness.store.fault_hook = lambda method, kind: "away"


@when('the store is unavailable for writes of "{kind}"')
def step_unavailable_for_kind(context, kind):
    set_write_fault(context.harness, kind, itertools.repeat("away"))


@when('the store loses the answers of the next {count:d} writes of "{kind}"')
def step_lose_answers(context, count, kind):
    set_write_fault(context.harness, kind, iter(["lose-answer"] * count))


@when('the store loses the answer to a write of "{kind}" and is unavailable afterwards')
def step_lose_answer_then_unavailable(context, kind):
    lost = []

    def choose(method, seen):
        if lost:
            return "away"
        if seen == kind and method != "GET":
            lost.append(True)
            return "lose-answer"
        return ""

    context.harness.store.fault_hook = choose


@then('the last output is a manifest equal to "{path}"')
def step_manifest(context, path):
    text = (context.harness.directory / Path(path).name).read_text()
    wanted = parse_manifest(text, "file").ok
    shown = parse_manifest(context.harness.out, "output").ok
    key = lambda item: (type(item).__name__, item.name)
    assert sorted(shown, key=key) == sorted(wanted, key=key), context.harness.out


@then("{runs:d} random runs of changes, lost answers and outages agree with the store")
def step_random(context, runs):
    commands = st.sampled_from(RANDOM_COMMANDS)
    steps = st.lists(
        st.tuples(
            st.sampled_from(["anna", "farid"]),
            commands,
            st.lists(
                st.sampled_from(
                    ["", "", "lose-answer", "lose-request", "away", "stay-away"]
                ),
                max_size=30,
            ),
        ),
        min_size=1,
        max_size=6,
    )

    @settings(max_examples=runs, derandomize=True, database=None, deadline=None)
    @sample(steps)
    def check(steps):
        with tempfile.TemporaryDirectory() as directory:
            harness = CommandHarness(Path(directory))
            for operator, command, faults in steps:
                check_command(harness, operator, command, faults)

    check()
