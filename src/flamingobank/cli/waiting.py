"""Wait until a revision is in force on all nodes."""

from flamingobank.cli.context import CommandContext, CommandSession
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_line
from flamingobank.cli.reports import report_error

# A change is in force on all nodes within 6 s; the rest allows for a network
# partition that heals.
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.25
# An error line names only a few nodes of a large fleet.
MAX_SHOWN_NODES = 5


def wait_until_in_force(
    session: CommandSession, context: CommandContext, revision: int, timeout_s: float
) -> ExitCode:
    """Poll the fleet's status until each node has the revision or time is up."""
    nodes = context.open_nodes(session.config)
    deadline = context.now() + timeout_s
    last_line = ""
    missing = "no status was read"
    while True:
        status = nodes.read_any_status()
        if status.is_ok():
            lagging, total = find_lagging_nodes(status.ok, revision)
            line = f"revision {revision} in force on {total - len(lagging)} of {total}"
            if line != last_line:
                print_line(line, context.err)
                last_line = line
            if not lagging:
                return ExitCode.DONE
            missing = f"missing on {', '.join(lagging[:MAX_SHOWN_NODES])}"
        else:
            missing = "; ".join(status.error)
        if context.now() >= deadline:
            break
        context.sleep(POLL_INTERVAL_S)
    report_error(
        context,
        f"the changes are accepted, but revision {revision} is not known to be in "
        f"force on all nodes after {timeout_s:g} s: {missing}",
    )
    return ExitCode.FAILED


def find_lagging_nodes(status: dict, revision: int) -> tuple[list[str], int]:
    """Return the nodes below a revision with their states, and the node count."""
    revisions = {str(status.get("node")): int(status.get("revision", 0))}
    states: dict[str, str] = {}
    for member in status.get("members", []):
        name = str(member.get("node"))
        revisions[name] = max(revisions.get(name, 0), int(member.get("revision", 0)))
        states[name] = str(member.get("state", "unknown"))
    lagging = [
        f"{name} ({states.get(name, 'alive')})"
        for name, reached in revisions.items()
        if reached < revision
    ]
    return sorted(lagging), len(revisions)
