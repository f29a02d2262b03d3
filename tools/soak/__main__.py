"""Run the soak test with one or more seeds."""

import argparse
import sys
from collections import Counter

from tools.soak.faults import FAULTS
from tools.soak.run import run_soak


def main(arguments: list[str]) -> int:
    """Run the seeds one after the other; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--machines", type=int, default=5)
    options = parser.parse_args(arguments)
    violated = False
    for seed in range(options.seed, options.seed + options.seeds):
        soak = run_soak(seed, options.seconds, options.machines, FAULTS)
        statuses = Counter(call.status for call in soak.calls)
        print(
            f"seed {seed}: {len(soak.fault_names)} faults, {len(soak.calls)} requests, "
            f"statuses {dict(statuses)}, "
            f"{max(machine.peak_mb for machine in soak.machines):.0f} MB at most, "
            f"{len(soak.violations)} violations"
        )
        for violation in soak.violations:
            violated = True
            print(f"  {violation}")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
