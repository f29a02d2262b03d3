"""Prepare each scenario with a fresh context."""


def before_scenario(context, scenario) -> None:
    """Start each scenario without state of an earlier one."""
    context.state = {}
