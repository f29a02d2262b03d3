"""Check the arithmetic and the rendering of the capacity page, but no timings."""

import copy
import json

from behave import then, when
from hypothesis import given as draw, settings, strategies as st

from benchmarks.capacity_model import work_out_budgets
from benchmarks.capacity_slopes import fit_line
from tools.render_capacity import (
    MEASUREMENTS,
    PAGE,
    RENDERERS,
    list_blocks,
    render_page,
)

RUNS = settings(max_examples=50, derandomize=True, database=None, deadline=None)


def _read_figures() -> dict:
    return json.loads(MEASUREMENTS.read_text(encoding="utf-8"))


@then("the capacity page equals what its renderer writes from the committed file")
def step_page_current(context):
    # Guards against figures in the page that are not from a committed run.
    page = PAGE.read_text(encoding="utf-8")
    assert render_page(page, _read_figures()) == page


@then("the capacity page contains every block of figures once")
def step_blocks(context):
    # Guards against a lost marker, without which a table is no longer updated.
    page = PAGE.read_text(encoding="utf-8")
    assert sorted(list_blocks(page)) == sorted(RENDERERS), list_blocks(page)


@when("a committed memory figure grows by 10 MB")
def step_grow(context):
    context.figures = _read_figures()
    context.changed = copy.deepcopy(context.figures)
    context.changed["full_size"]["directory_mb"] += 10.0


@then("the capacity page differs from what its renderer writes")
def step_page_stale(context):
    page = PAGE.read_text(encoding="utf-8")
    assert render_page(page, context.changed) != page


@then("the computed control memory is 10 MB higher")
def step_memory(context):
    before = work_out_budgets(context.figures)["control_memory_mb"]
    after = work_out_budgets(context.changed)["control_memory_mb"]
    assert abs(after - before - 10.0) < 0.11, (before, after)


@then("random lines with one value off the line are fitted by least squares")
def step_fit(context):
    @RUNS
    @draw(
        st.floats(-100, 100),
        st.floats(-1e4, 1e4),
        st.floats(-50, 50),
        st.integers(0, 3),
    )
    def check(slope, intercept, offset, index):
        # Guards against a fit whose residual hides a value off the line.
        sizes = [1, 2, 4, 8]
        values = [slope * size + intercept for size in sizes]
        values[index] += offset
        line = fit_line(sizes, values)
        residuals = [
            value - line["slope"] * size - line["intercept"]
            for size, value in zip(sizes, values, strict=True)
        ]
        assert abs(sum(residuals)) < 1, residuals
        assert abs(sum(s * r for s, r in zip(sizes, residuals, strict=True))) < 1, (
            residuals
        )
        assert abs(max(map(abs, residuals)) - line["largest_residual"]) < 1, line

    check()
