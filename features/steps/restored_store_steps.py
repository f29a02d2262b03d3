"""Test what processes do after the store came back from an older copy."""

from behave import when

from flamingobank_standins.platform.store import StoreMode

AWAY_S = 1.0


@when("the store loses a change, and another one gets the same revision")
def step_lost_change(context):
    world = context.world
    copy = world.store.take_copy()
    world.change_configuration()
    world.advance(2)
    assert context.follower.version == 2
    world.store.mode = StoreMode.RESETTING
    world.advance(AWAY_S)
    world.store.mode = StoreMode.SERVING
    world.store.restore(copy)
    world.change_configuration()
    context.expected_version = 3
