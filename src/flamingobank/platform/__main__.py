"""Run a sidecar on the platform."""

import gc
import os
import signal
import sys
from pathlib import Path

# SIGHUP asks for the settings to be read again. Until they are read for the first time
# it has nothing to do, and its default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from flamingobank._lean_import import import_circuits  # noqa: E402

import_circuits()

from flamingobank.loop import Poller  # noqa: E402
from flamingobank.platform.announcements import decode_call  # noqa: E402
from flamingobank.platform.headers import PlatformDialect  # noqa: E402
from flamingobank.platform.settings import (  # noqa: E402
    SETTINGS_VARIABLE,
    SettingsFile,
)
from flamingobank.platform.store import ObjectStore  # noqa: E402
from flamingobank.sidecar.daemon import Sidecar, handle_hangup  # noqa: E402
from flamingobank.sidecar.event_log import EventLog, start_logging  # noqa: E402
from flamingobank.sidecar.fleet.fleet_store import FleetStore  # noqa: E402
from flamingobank.store import LoopTransport  # noqa: E402

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run the sidecar until it is stopped; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings_file = SettingsFile(path)
    loaded = settings_file.load()
    if loaded.is_error():
        print(f"flamingobank: {loaded.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    poller = Poller()
    output = start_logging(poller)
    event_log = EventLog(loaded.ok.node_id)
    sidecar = Sidecar(
        loaded.ok,
        event_log,
        output,
        poller,
        PlatformDialect(),
        decode_call,
        lambda sidecar: make_store(sidecar, event_log),
        settings_file.load,
    )
    handle_hangup(sidecar)
    event_log.event("sidecar:started", boot=sidecar.boot, settings=str(path))
    # Excludes the objects created at startup from later garbage collections, since they
    # live as long as the process.
    gc.collect()
    gc.freeze()
    sidecar.run()
    output.flush()
    # Skips the interpreter's teardown, which takes a part of the grace period.
    os._exit(0)


def make_store(sidecar: Sidecar, event_log: EventLog) -> FleetStore:
    """Return a client of the platform's store that uses the sidecar's loop."""
    transport = LoopTransport(
        sidecar.poller, sidecar.timers, sidecar.clock, sidecar.settings.store, token=""
    )
    return ObjectStore(transport, event_log)


if __name__ == "__main__":
    sys.exit(main())
