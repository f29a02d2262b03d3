"""Run one sidecar of the soak behind the link proxy and with a movable clock.

The program itself is unchanged. It accepts links on another port than the announced
one, on which the proxy listens. A file contains the offset of its time of day.
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

# Environment variable with the path of the file that contains the offset of the time of
# day, in seconds.
CLOCK_FILE_VARIABLE = "SOAK_CLOCK_FILE"
# Set to disable the event log, so that the cost of logging can be measured.
QUIET_VARIABLE = "SOAK_QUIET"
# Set to leave the clock unmodified; reading the offset file for each log line would
# cost more than the line.
TRUE_CLOCK_VARIABLE = "SOAK_TRUE_CLOCK"
# Links are accepted on the announced port plus this offset.
PORT_OFFSET = 100


def shift_time() -> None:
    """Patch ``time`` to add the offset in the file whenever the time of day is read."""
    path = Path(os.environ[CLOCK_FILE_VARIABLE])
    read_actual_ns = time.time_ns

    def read_shifted_ns() -> int:
        return read_actual_ns() + int(float(path.read_text()) * 1e9)

    time.time_ns = read_shifted_ns
    time.time = lambda: read_shifted_ns() / 1e9


def listen_behind_proxy() -> None:
    """Patch the link pool to accept links on the port to which the proxy forwards."""
    listen = LinkPool.listen

    def listen_at_offset(self: LinkPool, address: Address, observer: PeerObserver):
        return listen(self, (address[0], address[1] + PORT_OFFSET), observer)

    LinkPool.listen = listen_at_offset


def silence_event_log() -> None:
    """Patch the event log to write no lines."""

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
