"""Steps for clocks, rendezvous hashing and invariants."""

from behave import given, then, when

from flamingobank.core import (
    Invariant,
    InvariantError,
    VirtualClock,
    check_invariant,
    rank_by_rendezvous,
)


@given("a virtual clock at {reading:d} seconds")
def step_clock(context, reading):
    context.clock = VirtualClock(float(reading))


@when("the clock is advanced to {reading:d} seconds")
def step_advance(context, reading):
    context.clock.advance_to(float(reading))


@then("the clock reads {reading:d} seconds")
def step_read(context, reading):
    assert context.clock.now() == reading, context.clock.now()


@given("{owners:d} owners and {keys:d} keys")
def step_owners(context, owners, keys):
    context.owners = [f"node-{index}" for index in range(owners)]
    context.keys = [f"key-{index}" for index in range(keys)]


@when("one owner is lost")
def step_lose_owner(context):
    context.lost = context.owners[7]
    context.before = {
        key: rank_by_rendezvous(key, context.owners)[0] for key in context.keys
    }
    left = [owner for owner in context.owners if owner != context.lost]
    context.after = {key: rank_by_rendezvous(key, left)[0] for key in context.keys}


@then("only its keys have a new owner")
def step_moved(context):
    moved = {key for key in context.keys if context.before[key] != context.after[key]}
    owned = {key for key in context.keys if context.before[key] == context.lost}
    assert owned, "the lost owner had no keys, so the scenario checks nothing"
    assert moved == owned, moved ^ owned


@when('the invariant "{name}" is checked with {used:d} slots in use of {limit:d}')
def step_check(context, name, used, limit):
    context.violation = None
    try:
        check_invariant(Invariant(name), used <= limit, in_use=used, limit=limit)
    except InvariantError as violation:
        context.violation = violation


@then('the violation names "{first}" and "{second}"')
def step_violation(context, first, second):
    text = str(context.violation)
    assert first in text and second in text, text
