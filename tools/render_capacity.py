"""Write the figures of docs/CAPACITY.md from the committed measurements.

With ``--check`` nothing is written, and the exit code is 1 if the page is out of date.
"""

import argparse
import json
import re
import sys
from pathlib import Path

from benchmarks.capacity_model import (
    BUDGETS,
    scale_size,
    work_out_budgets,
    work_out_memory,
    work_out_store,
    work_out_traffic,
)
from benchmarks.capacity_roles import work_out_roles, work_out_worst_hour

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "benchmarks" / "measurements" / "capacity.json"
BLOCK = re.compile(r"(<!-- figures (\w+) -->\n).*?(<!-- end of figures -->)", re.DOTALL)
MEASURED = {
    "in_force_s": "measured, 10, 20 and 40 nodes",
    "added_p99_ms": "measured, 2 entries and 2 homes",
    "control_memory_mb": "measured, links worked out",
}


def render_budgets(figures: dict) -> str:
    """Return the table that compares each figure with its budget."""
    target, large = work_out_budgets(figures), work_out_budgets(figures, 10.0)
    rows = []
    for name, value in target.items():
        budget = BUDGETS[name]
        fits = "yes" if value <= budget else "**over**"
        at_ten_times = (
            "not known" if name in ("in_force_s", "added_p99_ms") else large[name]
        )
        kind = MEASURED.get(name, "worked out")
        rows.append([f"`{name}`", value, budget, fits, at_ten_times, kind])
    return _render_table(
        ["line", "figure", "budget", "fits", "at ten times", "measured / worked out"],
        rows,
    )


def render_roles(figures: dict) -> str:
    """Return the load of each role, at the target size and at ten times that size."""
    parts = []
    for factor in (1.0, 10.0):
        rows = [
            [
                name,
                role["state"],
                round(role["in"], 2),
                round(role["out"], 2),
                round(role["cpu"], 3),
                round(role["mb"], 2),
                f"{role['store'][0]:.3f}",
                f"{role['store'][1]:.3f}",
                role["modules"],
                "worked out",
            ]
            for name, role in work_out_roles(figures, scale_size(factor)).items()
        ]
        header = [
            "role",
            "state",
            "in/s",
            "out/s",
            "% of a core",
            "MB",
            "store reads/s",
        ]
        header += ["store writes/s", "mechanism", "measured / worked out"]
        parts.append(f"At {factor:.0f} times the target size:\n")
        parts.append(_render_table(header, rows))
    return "\n".join(parts)


def render_traffic(figures: dict) -> str:
    """Return the table of messages, bytes and CPU of a node by mechanism."""
    rows = [
        [name, round(row[0], 2), round(row[1] / 1e3, 2), round(row[2] / 1e4, 3)]
        for name, row in work_out_traffic(figures, scale_size(1.0)).items()
    ]
    return _render_table(["mechanism", "messages/s", "KB/s", "% of a core"], rows)


def render_memory(figures: dict) -> str:
    """Return the tables of resident memory by kind of state and of look-up times."""
    memory = work_out_memory(figures, scale_size(1.0))
    rows = [[name, round(value, 1)] for name, value in memory.items()]
    look_ups = figures["full_size"]["look_up_us"].items()
    times = [[name, row["p50"], row["p99"], row["mean"]] for name, row in look_ups]
    table = _render_table(["state", "MB"], rows)
    header = ["operation at full size", "p50 us", "p99 us", "mean us"]
    return f"{table}\n{_render_table(header, times)}"


def render_store(figures: dict) -> str:
    """Return the table of store reads and writes by mechanism."""
    rows = [
        [name, round(row[0], 2), round(row[1], 2)]
        for name, row in work_out_store(scale_size(1.0)).items()
    ]
    return _render_table(["mechanism", "reads/s", "writes/s"], rows)


def render_worst_hour(figures: dict) -> str:
    """Return the table of the load when a failure domain is lost and returns."""
    rows = [[name, round(v, 1)] for name, v in work_out_worst_hour(figures).items()]
    return _render_table(["figure", "value"], rows)


def render_slopes(figures: dict) -> str:
    """Return the table of measured costs.

    A cost is the slope of a fitted line, with its intercept and largest residual, or a
    mean.
    """
    rows = [
        [
            f"`{name}`",
            line["slope"],
            line.get("intercept", ""),
            line.get("largest_residual", ""),
            f"{line['sizes'][0]} to {line['sizes'][-1]}" if "sizes" in line else "mean",
        ]
        for name, line in sorted(figures["slopes"].items())
    ]
    return _render_table(
        ["line", "slope", "intercept", "largest residual", "range"], rows
    )


RENDERERS = {
    "budgets": render_budgets,
    "roles": render_roles,
    "traffic": render_traffic,
    "memory": render_memory,
    "store": render_store,
    "worst_hour": render_worst_hour,
    "slopes": render_slopes,
}


def render_page(page: str, figures: dict) -> str:
    """Return the page with each block of figures rendered again."""
    return BLOCK.sub(
        lambda match: match[1] + RENDERERS[match[2]](figures) + match[3], page
    )


def list_blocks(page: str) -> list[str]:
    """Return the names of the blocks of figures in a page, in order."""
    return [match[2] for match in BLOCK.finditer(page)]


def _render_table(header: list[str], rows: list[list]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(str(cell) for cell in row)} |\n" for row in lines)


def main(arguments: list[str]) -> int:
    """Write the page, or with ``--check`` return 1 if it is out of date."""
    parser = argparse.ArgumentParser(prog="python -m tools.render_capacity")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    page = PAGE.read_text(encoding="utf-8")
    rendered = render_page(page, json.loads(MEASUREMENTS.read_text(encoding="utf-8")))
    if options.check:
        if page != rendered:
            print("docs/CAPACITY.md differs from benchmarks/measurements/capacity.json")
        return int(page != rendered)
    PAGE.write_text(rendered, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
