"""Test how connections that have gone silent are noticed and replaced."""

import random

from behave import given, then, when

from features.support.store_follower import StoreFollower, StoreWorld

PEERS = [f"n{number}" for number in range(25)]
# Time in which a process has read the store and its connections are idle or watching.
SETTLED_S = 5.0


@given(
    "{process} that reaches the store but none of its peers, with random seed {seed:d}"
)
def step_follower(context, process, seed):
    context.world = StoreWorld()
    is_watcher = process == "a watcher"
    for name in PEERS:
        follower = StoreFollower(
            context.world, name, seed, [peer for peer in PEERS if peer != name]
        )
        if follower.sync.is_watcher() == is_watcher:
            break
    context.follower = follower
    follower.sync.start()
    context.world.advance(SETTLED_S + random.Random(seed).uniform(0, 1.2))
    assert follower.version == 1


@when("its connections to the store go silent and the configuration changes")
def step_silence(context):
    context.world.silence_connections()
    context.world.change_configuration()


@then("it has the change within {seconds:d} seconds")
def step_has_change(context, seconds):
    context.world.advance(seconds)
    assert context.follower.version == 2, context.follower.versions
