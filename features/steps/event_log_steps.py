"""Test the event log and the command that reads logs."""

import io
import json
import os
from pathlib import Path
from tempfile import TemporaryDirectory

import eliot
from behave import given, then, when

from flamingobank.cli.context import CommandContext
from flamingobank.cli.main import build_parser
from flamingobank.core import VirtualClock
from flamingobank.loop import Poller
from flamingobank.sidecar.event_log import MAX_QUEUED_LINES, EventLog, LineOutput


@given('logs of two nodes that name request "{request}"')
def step_logs(context, request):
    entry = [
        (1.0, "exchange:taken", {"request": request, "route": "r-1"}),
        (1.2, "exchange:ended", {"request": request, "outcome": "500"}),
        (1.1, "exchange:taken", {"request": "other"}),
    ]
    home = [(1.1, "home:answered", {"request": request, "status": 500})]
    context.logs = []
    for node, lines in (("entry", entry), ("home", home)):
        text = "not json\n{cut\n"
        for time, kind, fields in lines:
            record = {"timestamp": time, "message_type": kind, "node": node, **fields}
            text += f"  {time} {node} {json.dumps(record)}\n"
        context.logs.append(text)


@when('an operator asks why for "{request}"')
def step_why(context, request):
    context.command = CommandContext(out=io.StringIO(), err=io.StringIO())
    with TemporaryDirectory() as folder:
        paths = []
        for number, text in enumerate(context.logs):
            path = Path(folder) / f"{number}.log"
            path.write_text(text)
            paths.append(str(path))
        options = build_parser().parse_args(["why", request, *paths])
        options.context = context.command
        context.exit_code = options.run(options)


@then("the lines are listed in order of time with their decisions")
def step_lines_in_order(context):
    assert context.exit_code == 0
    lines = context.command.out.getvalue().splitlines()
    assert lines == [
        "+0.000 entry exchange:taken route=r-1",
        "+0.100 home home:answered status=500",
        "+0.200 entry exchange:ended outcome=500",
    ], lines


@then('the command fails and names "{request}"')
def step_why_fails(context, request):
    assert context.exit_code != 0
    assert request in context.command.err.getvalue()


@given("a log output whose reader has stopped")
def step_stopped_reader(context):
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    context.read_end = read_end
    context.written = 0
    context.add_cleanup(os.close, read_end)
    context.add_cleanup(os.close, write_end)
    context.poller = Poller()
    context.output = LineOutput(context.poller, write_end)


@when("5000 lines are written")
def step_write_lines(context):
    for number in range(5000):
        context.output.write({"number": number, "text": "x" * 100})
        context.output.flush()
    context.written = 5000


@when("lines with odd values are written")
def step_write_odd_lines(context):
    values = [
        2**70,
        -(2**70),
        float("nan"),
        float("inf"),
        "\ud800",
        b"x",
        {1: 2},
        {"a"},
    ]
    for number, value in enumerate(values):
        context.output.write({"number": number, "text": value})
    context.written = len(values)


@when("the reader goes on")
def step_reader_goes_on(context):
    context.read = b""
    for _ in range(10_000):
        context.output.flush()
        try:
            context.read += os.read(context.read_end, 65536)
        except BlockingIOError:
            break


@then("it gets whole lines in order, and all that were not dropped")
def step_whole_lines(context):
    numbers = [json.loads(line)["number"] for line in context.read.splitlines()]
    assert numbers == sorted(set(numbers)), numbers[:20]
    assert len(numbers) == context.written - context.output.dropped, len(numbers)


@then("writing returns and at most 2000 lines are queued")
def step_queue_limited(context):
    assert context.output.queued <= MAX_QUEUED_LINES
    assert context.output.dropped > 0


@given("an event log that counts its lines")
def step_event_log(context):
    context.lines = []
    context.event_log = EventLog("flooded")
    context.event_log.use_clock(VirtualClock(5.0))
    eliot.add_destinations(context.lines.append)
    context.add_cleanup(eliot.remove_destination, context.lines.append)


@when("1000 decisions on requests are logged within a second")
def step_log_decisions(context):
    for number in range(1000):
        context.event_log.request("exchange:taken", f"r{number}")


@then("200 are written and 800 are counted as dropped")
def step_lines_limited(context):
    # eliot also delivers the messages that were logged before the first destination of
    # the process was added; only those of this node are counted.
    written = [line for line in context.lines if line.get("node") == "flooded"]
    assert len(written) == 200, len(written)
    assert context.event_log.dropped == 800


@when("a configuration is applied in the same second")
def step_log_configuration(context):
    context.event_log.event("configuration:applied", version=7)


@then("the line about the configuration is written")
def step_configuration_logged(context):
    kinds = [line.get("message_type") for line in context.lines]
    assert "configuration:applied" in kinds
