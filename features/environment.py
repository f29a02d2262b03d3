"""Prepare each scenario with a fresh context."""


def before_scenario(context, scenario) -> None:
    """Start each scenario with empty state, so that no earlier one affects it."""
    context.state = {}
