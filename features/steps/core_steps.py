"""Steps for clocks, rendezvous hashing and invariants."""

import time

from behave import given, then, when

from flamingobank.core import (
    Invariant,
    InvariantError,
    MonotonicClock,
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


@given("a timer that is due in 2 seconds")
def step_timer(context):
    context.clock = MonotonicClock()
    context.deadline = context.clock.now() + 2.0


@when(
    "the machine is suspended for {seconds:d} seconds, which its steady clock does not "
    "count"
)
def step_suspend(context, seconds):
    read_clock = time.clock_gettime

    def read_after_suspension(clock_id):
        suspended_s = seconds if clock_id == time.CLOCK_BOOTTIME else 0
        return read_clock(clock_id) + suspended_s

    time.clock_gettime = read_after_suspension
    context.add_cleanup(setattr, time, "clock_gettime", read_clock)


@then("the timer is due")
def step_timer_due(context):
    assert context.clock.now() > context.deadline
