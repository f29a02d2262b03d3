"""Print what the quotas of a fleet cost and how often they refuse in calm.

Messages are packed as on the wire. Headers of TCP and IP are not counted.
"""

import argparse
import math
import random

from flamingobank.sidecar.links.codec import pack_message
from flamingobank.sidecar.workspaces.quota_shares import compute_shares
from flamingobank.sidecar.workspaces.token_bucket import TokenBucket
from tools.quota_simulation import BOUNDS, SimulatedFleet, make_workspace

LARGE_RATES_PER_S = (58.0, 26.0, 16.0, 11.0, 9.0)
SMALL_RATE_PER_S = 5.0
START_S = 3.0
# Requests in the trial of one bucket.
TRIAL_REQUESTS = 3_000_000


class CountingFleet(SimulatedFleet):
    """A fleet that counts the bytes of its messages by their type."""

    def __init__(self, *arguments) -> None:
        self.message_counts: dict[str, int] = {}
        self.message_bytes: dict[str, int] = {}
        super().__init__(*arguments)

    def note_message(self, message: object) -> None:
        """Count a message that is sent after the start of the demand."""
        if self.now < START_S:
            return
        name = type(message).__name__
        size = len(pack_message(message))
        self.message_counts[name] = self.message_counts.get(name, 0) + 1
        self.message_bytes[name] = self.message_bytes.get(name, 0) + size


def print_costs(processes: int, factor: float, seconds: float) -> None:
    """Print messages and bytes a second with 81 workspaces."""
    workspaces = []
    for number in range(81):
        rate = SMALL_RATE_PER_S
        if number < len(LARGE_RATES_PER_S):
            rate = LARGE_RATES_PER_S[number]
        workspaces.append(make_workspace(f"workspace-{number}", rate))
    fleet = CountingFleet(1, processes, workspaces)
    for workspace in workspaces:
        rate = workspace.rate_per_s * factor
        fleet.add_demand(workspace.name, rate, START_S, START_S + seconds)
    fleet.run_until(START_S + seconds)
    print(f"{processes} processes, {factor:.3f} of the rates, {seconds:.0f} s:")
    for name, count in sorted(fleet.message_counts.items()):
        size = fleet.message_bytes[name]
        print(f"  {name}: {count / seconds:.0f} a second, {size / seconds:.0f} bytes")
    messages = sum(fleet.message_counts.values()) / seconds
    size = sum(fleet.message_bytes.values()) / seconds
    print(f"  all: {messages:.0f} messages and {size:.0f} bytes a second")
    each = messages / processes, size / processes
    print(f"  each process: {each[0]:.1f} messages and {each[1]:.0f} bytes sent")
    print(f"  {fleet.asked} requests, {fleet.denied} refused")
    print(f"  excesses of the bound: {fleet.list_excesses()}")


def print_refusals(rate_per_s: float, extra_burst: bool) -> None:
    """Print the share of Poisson arrivals that a bucket refuses in calm."""
    workspace = make_workspace("w", rate_per_s)
    capacity = workspace.burst
    if extra_burst:
        capacity = compute_shares(workspace, BOUNDS, 95, 95).capacity
    rng = random.Random(1)
    bucket = TokenBucket(rate_per_s, capacity, capacity, 0.0)
    now, refused = 0.0, 0
    for _ in range(TRIAL_REQUESTS):
        now += rng.expovariate(rate_per_s / 1.6)
        refused += not bucket.take(1, now)
    share = refused / TRIAL_REQUESTS
    upper = (refused + 2 * math.sqrt(refused) + 3) / TRIAL_REQUESTS
    print(
        f"rate {rate_per_s:.0f}, capacity {capacity:.0f}: {share:.2e} (< {upper:.1e})"
    )


def main() -> None:
    """Print the figures of docs/design/quotas.md."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=95)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    for rate_per_s in (SMALL_RATE_PER_S, *reversed(LARGE_RATES_PER_S)):
        print_refusals(rate_per_s, extra_burst=False)
        print_refusals(rate_per_s, extra_burst=True)
    print_costs(options.processes, 1 / 1.6, options.seconds)
    print_costs(options.processes, 10.0, options.seconds)


if __name__ == "__main__":
    main()
