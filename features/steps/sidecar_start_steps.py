"""Send signals to a real sidecar process while it starts."""

import signal
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from tools.soak.faults import FAULTS
from tools.soak.run import Soak

START_TIMEOUT_S = 20.0
SEED = 240


def _wait(condition, what):
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, what


@given("a sidecar process that has loaded its HTTP parser")
def step_loading(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.soak = Soak(SEED, 1, Path(folder.name), FAULTS)
    context.machine = context.soak.machines[0]
    context.machine.start()
    context.add_cleanup(context.machine.kill_and_wait)
    maps = Path(f"/proc/{context.machine.process.pid}/maps")
    _wait(lambda: "httptools" in maps.read_text(), "the HTTP parser is loaded")


@when("it gets SIGHUP")
def step_hangup(context):
    context.machine.send_signal(signal.SIGHUP)


@then("it goes on and logs its start")
def step_goes_on(context):
    log = context.soak.directory / f"{context.machine.name}.log"

    def has_started():
        code = context.machine.process.poll()
        assert code is None, f"the process ended with {code}"
        return "sidecar:started" in log.read_text()

    _wait(has_started, "the process starts")
