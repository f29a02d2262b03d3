"""Break something from outside the processes; each fault ends by itself."""

import signal

from flamingobank_standins.platform.server import ServerMode
from flamingobank_standins.platform.store import StoreMode
from tools.soak.machines import Machine
from tools.soak.proxy import ProxyMode
from tools.soak.run import Soak

# Seconds after the acknowledgement in which a leaving server may still get work.
DRAIN_S = 2.0
# Seconds by which a clock jumps, forward or backward.
CLOCK_JUMP_S = 20.0


def kill(soak: Soak, machine: Machine, seconds: float) -> None:
    """Kill a process and start it again."""
    machine.send(signal.SIGKILL)
    soak.later(seconds, machine.start)


def stop(soak: Soak, machine: Machine, seconds: float) -> None:
    """Ask a process to stop and start it again when it has."""
    machine.send(signal.SIGTERM)
    for delay_s in range(1, 9):
        soak.later(delay_s, machine.start)


def pause(soak: Soak, machine: Machine, seconds: float) -> None:
    """Freeze a process for a while."""
    machine.send(signal.SIGSTOP)
    soak.later(seconds, lambda: machine.send(signal.SIGCONT))


def hang_up(soak: Soak, machine: Machine, seconds: float) -> None:
    """Tell a process that its settings have changed."""
    machine.send(signal.SIGHUP)


def trouble_links(soak: Soak, machine: Machine, seconds: float) -> None:
    """Delay, reset, cut or silence links to a machine."""
    faults = [mode for mode in ProxyMode if mode is not ProxyMode.PASSING]
    machine.proxy.set_mode(soak.rng.choice(faults))
    soak.later(seconds, lambda: machine.proxy.set_mode(ProxyMode.PASSING))


def jump_clock(soak: Soak, machine: Machine, seconds: float) -> None:
    """Move a clock, and for good or back after a while; the process may restart."""
    machine.move_clock(soak.rng.uniform(-CLOCK_JUMP_S, CLOCK_JUMP_S))
    if soak.rng.random() < 0.5:
        soak.later(seconds, lambda: machine.move_clock(0.0))


def trouble_store(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let the store fail in one of its ways."""
    soak.store.mode = soak.rng.choice(list(StoreMode))
    soak.later(seconds, lambda: setattr(soak.store, "mode", StoreMode.SERVING))


def compact_history(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let the store forget its history."""
    soak.store.compact_history()


def change_configuration(soak: Soak, machine: Machine, seconds: float) -> None:
    """Write a higher version."""
    soak.version += soak.rng.randint(1, 5)
    soak._write_configuration()


def trouble_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let a server fail in one of its ways."""
    machine.server.mode = soak.rng.choice(list(ServerMode))
    soak.later(seconds, lambda: setattr(machine.server, "mode", ServerMode.WORKING))


def replace_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Drain a server and start another one in its place."""
    server = machine.server
    server.drain()

    def check_and_restart() -> None:
        drain_acknowledged_at = server.drain_acknowledged_at
        if drain_acknowledged_at is not None:
            for request_id, instance, time in server.runs:
                if (
                    instance == server.instance
                    and time > drain_acknowledged_at + DRAIN_S
                ):
                    soak.violations.append(f"{request_id} reached drained {instance}")
        server.restart()

    soak.later(DRAIN_S + seconds, check_and_restart)


FAULTS = (
    kill,
    stop,
    pause,
    hang_up,
    trouble_links,
    trouble_links,
    jump_clock,
    trouble_store,
    compact_history,
    change_configuration,
    trouble_server,
    trouble_server,
    replace_server,
)
