"""Run a short soak."""

from behave import then, when

from tools.soak import run_soak


@when(
    "{machines:d} sidecar processes run for {seconds:d} seconds under the random "
    "faults of seed {seed:d}"
)
def step_soak(context, machines, seconds, seed):
    context.soak = run_soak(seed, seconds, machines)


@then("no promise is broken and requests succeed once the faults are over")
def step_kept(context):
    assert not context.soak.violations, (context.soak.faults, context.soak.violations)
    assert len(context.soak.calls) > 100
