"""Run one sidecar of the soak: behind the proxy, and with a clock that can be moved.

The program itself is unchanged. Its links are accepted on another port than the one
that it announces, where the proxy listens. What stands in a file moves its time of day.
"""

import os
import sys
import time
from pathlib import Path

from flamingobank.loop import Address
from flamingobank.platform import __main__ as program
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.links.channels import PeerObserver
from flamingobank.sidecar.links.links import LinkPool

# Names the file that holds the seconds by which the time of day is moved.
CLOCK_FILE_VARIABLE = "SOAK_CLOCK_FILE"
# Set for a process that writes no log, so that the cost of logs can be measured.
QUIET_VARIABLE = "SOAK_QUIET"
# Set for a process whose clock is not moved; reading the file at each log line would
# cost more than the line.
TRUE_CLOCK_VARIABLE = "SOAK_TRUE_CLOCK"
# Links are accepted on the announced port plus this.
PORT_OFFSET = 100


def shift_time() -> None:
    """Add the seconds in the file to the time of day at each reading."""
    path = Path(os.environ[CLOCK_FILE_VARIABLE])
    read_actual_ns = time.time_ns

    def read_shifted_ns() -> int:
        return read_actual_ns() + int(float(path.read_text()) * 1e9)

    time.time_ns = read_shifted_ns
    time.time = lambda: read_shifted_ns() / 1e9


def listen_behind_proxy() -> None:
    """Accept links on the port to which the proxy forwards."""
    listen = LinkPool.listen

    def listen_at_offset(self: LinkPool, address: Address, observer: PeerObserver):
        return listen(self, (address[0], address[1] + PORT_OFFSET), observer)

    LinkPool.listen = listen_at_offset


def silence_event_log() -> None:
    """Write no line about decisions."""

    def write_nothing(self: EventLog, *names: str, **fields: object) -> None:
        return None

    EventLog.event = write_nothing
    EventLog.request = write_nothing


if __name__ == "__main__":
    if os.environ.get(QUIET_VARIABLE):
        silence_event_log()
    if not os.environ.get(TRUE_CLOCK_VARIABLE):
        shift_time()
    listen_behind_proxy()
    sys.exit(program.main())
