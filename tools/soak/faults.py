"""Define the faults of the soak test, which are injected from outside the processes.

Each fault ends by itself, after the given seconds where it has a duration.
"""

import signal

from flamingobank_standins.platform.server import ServerMode
from flamingobank_standins.platform.store import StoreMode
from tools.soak.machines import Machine
from tools.soak.proxy import ProxyMode
from tools.soak.run import Soak

# Seconds after the acknowledgement of a drain in which the server may still get
# requests.
DRAIN_GRACE_S = 2.0
# Largest jump of a clock in seconds, forward or backward.
CLOCK_JUMP_S = 20.0


def kill_process(soak: Soak, machine: Machine, seconds: float) -> None:
    """Kill a process and start it again after a while."""
    machine.send_signal(signal.SIGKILL)
    soak.call_later(seconds, machine.start)


def stop_process(soak: Soak, machine: Machine, seconds: float) -> None:
    """Send SIGTERM to a process and start it again once it has exited."""
    machine.send_signal(signal.SIGTERM)
    for delay_s in range(1, 9):
        soak.call_later(delay_s, machine.start)


def pause_process(soak: Soak, machine: Machine, seconds: float) -> None:
    """Suspend a process for a while."""
    machine.send_signal(signal.SIGSTOP)
    soak.call_later(seconds, lambda: machine.send_signal(signal.SIGCONT))


def reload_settings(soak: Soak, machine: Machine, seconds: float) -> None:
    """Send SIGHUP to a process, so that it reads its settings again."""
    machine.send_signal(signal.SIGHUP)


def impair_links(soak: Soak, machine: Machine, seconds: float) -> None:
    """Delay, reset, cut or silence some of the links to a machine for a while."""
    modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASSING]
    machine.proxy.set_mode(soak.rng.choice(modes))
    soak.call_later(seconds, lambda: machine.proxy.set_mode(ProxyMode.PASSING))


def jump_clock(soak: Soak, machine: Machine, seconds: float) -> None:
    """Move the clock of a process, in half of the cases only for a while.

    The process may restart in reaction.
    """
    machine.move_clock(soak.rng.uniform(-CLOCK_JUMP_S, CLOCK_JUMP_S))
    if soak.rng.random() < 0.5:
        soak.call_later(seconds, lambda: machine.move_clock(0.0))


def impair_store(soak: Soak, machine: Machine, seconds: float) -> None:
    """Set a random mode of the store for a while."""
    soak.store.mode = soak.rng.choice(list(StoreMode))
    soak.call_later(seconds, lambda: setattr(soak.store, "mode", StoreMode.SERVING))


def compact_store_history(soak: Soak, machine: Machine, seconds: float) -> None:
    """Drop the store's history, so that watches of old revisions fail."""
    soak.store.compact_history()


def change_configuration(soak: Soak, machine: Machine, seconds: float) -> None:
    """Write the configuration to the store with a higher version."""
    soak.version += soak.rng.randint(1, 5)
    soak.write_configuration()


def impair_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Set a random mode of a server for a while."""
    machine.server.mode = soak.rng.choice(list(ServerMode))
    soak.call_later(
        seconds, lambda: setattr(machine.server, "mode", ServerMode.WORKING)
    )


def replace_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Drain a server and restart it; check that it gets no requests once drained."""
    server = machine.server
    server.drain()

    def check_and_restart() -> None:
        drain_acknowledged_at = server.drain_acknowledged_at
        if drain_acknowledged_at is not None:
            for request_id, instance, time in server.runs:
                if (
                    instance == server.instance
                    and time > drain_acknowledged_at + DRAIN_GRACE_S
                ):
                    soak.violations.append(
                        f"{request_id} was executed by drained {instance}"
                    )
        server.restart()

    soak.call_later(DRAIN_GRACE_S + seconds, check_and_restart)


# Faults that are listed twice are chosen twice as often.
FAULTS = (
    kill_process,
    stop_process,
    pause_process,
    reload_settings,
    impair_links,
    impair_links,
    jump_clock,
    impair_store,
    compact_store_history,
    change_configuration,
    impair_server,
    impair_server,
    replace_server,
)
