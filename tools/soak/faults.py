"""Define the faults of the soak test, which are injected from outside the processes.

Each fault ends by itself, after the given seconds where it has a duration.
"""

import signal
from functools import partial

from flamingobank_standins.platform.server import ServerMode
from flamingobank_standins.platform.store import StoreMode
from tools.soak.keys import REVOCATION_S
from tools.soak.machines import Machine
from tools.soak.proxy import ProxyMode
from tools.soak.run import OTHER_SERVICE, SERVICE, Soak
from tools.soak.windows import count_most

# Seconds after the acknowledgement of a drain in which the server may still get
# requests.
DRAIN_GRACE_S = 2.0
# A server that names a rate limit may get at most LIMIT_RATIO times what it allows, and
# LIMIT_EXTRA requests, in LIMIT_WINDOW_S; from LIMIT_SETTLE_S after it first named it.
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 3.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
LIMITS_PER_S = (1.0, 2.0, 5.0)
# A process is started again after this time. Its server leaves within a second of that,
# and a heartbeat from before arrives after LATE_HEARTBEAT_S.
RESTART_S = 0.3
LEAVING_DELAY_S = (0.3, 1.3)
LATE_HEARTBEAT_S = (0.5, 3.0)
LONG_PAUSE_S = 4.0
# Time from the begin of the fault to the suspension, and to the withdrawal of a key.
CONNECTING_S = 0.05
WITHDRAWAL_DELAY_S = 0.2
# Requests with that key, which are sent once it must be out of use.
WAITING_REQUESTS = 8
# Connections on which requests with large answers come at once, and requests on each.
PIPELINES = 8
PIPELINED_COUNT = 24
# Time for which a store is away before it comes back from a copy.
RESTORE_S = 0.4
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


def pause_two_processes(soak: Soak, machine: Machine, seconds: float) -> None:
    """Suspend two processes so that their suspensions overlap."""
    other = soak.rng.choice(soak.machines)
    machine.send_signal(signal.SIGSTOP)
    soak.call_later(LONG_PAUSE_S, lambda: machine.send_signal(signal.SIGCONT))
    overlap_s = soak.rng.uniform(0.2, LONG_PAUSE_S)
    starts_after_s = LONG_PAUSE_S - overlap_s
    soak.call_later(starts_after_s, lambda: other.send_signal(signal.SIGSTOP))
    soak.call_later(
        starts_after_s + LONG_PAUSE_S, lambda: other.send_signal(signal.SIGCONT)
    )


def pause_past_revocation(soak: Soak, machine: Machine, seconds: float) -> None:
    """Suspend a process until a key that is withdrawn meanwhile must be out of use.

    Requests with that key wait at the process when it goes on.
    """
    connections = [soak.connect(machine) for _ in range(WAITING_REQUESTS)]
    soak.call_later(CONNECTING_S, lambda: machine.send_signal(signal.SIGSTOP))

    def withdraw() -> None:
        change_configuration(soak, machine, seconds)
        if soak.keys is None:
            return
        key = soak.keys.get_newest_withdrawn()
        for connection in connections:
            # Some of them are sent only when the process has gone on.
            delay_s = REVOCATION_S + soak.rng.uniform(0.05, max(0.1, seconds))
            send = partial(soak.send_with_key, machine, connection, key)
            soak.call_later(delay_s, send)

    soak.call_later(WITHDRAWAL_DELAY_S, withdraw)
    soak.call_later(REVOCATION_S + seconds, lambda: machine.send_signal(signal.SIGCONT))


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


def restore_store(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let the store come back from a copy some seconds old, after a moment away.

    The operator then writes the newest configuration again.
    """
    copy = soak.store.take_copy()

    def go_away() -> None:
        soak.store.mode = StoreMode.RESETTING
        soak.call_later(RESTORE_S, come_back)

    def come_back() -> None:
        soak.store.restore(copy)
        soak.store.mode = StoreMode.SERVING
        soak.write_configuration()

    soak.call_later(seconds, go_away)


def silence_connections(soak: Soak, machine: Machine, seconds: float) -> None:
    """Lose what is sent on the open connections to the store and to one sidecar."""
    soak.store_proxy.silence_open_links()
    machine.proxy.silence_open_links()


def change_configuration(soak: Soak, machine: Machine, seconds: float) -> None:
    """Write the configuration to the store with a higher version."""
    soak.version += soak.rng.randint(1, 5)
    if soak.keys is not None:
        soak.keys.withdraw(soak.rng, soak.loop.clock.now())
    soak.write_configuration()


def impair_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Set a random mode of a server for a while."""
    _set_server_mode(soak, machine, soak.rng.choice(list(ServerMode)), seconds)


def send_without_end(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let a server answer with bodies without end for a while."""
    _set_server_mode(soak, machine, ServerMode.ENDLESS, seconds)


def _set_server_mode(
    soak: Soak, machine: Machine, mode: ServerMode, seconds: float
) -> None:
    machine.server.mode = mode
    soak.call_later(
        seconds, lambda: setattr(machine.server, "mode", ServerMode.WORKING)
    )


def pipeline_large_answers(soak: Soak, machine: Machine, seconds: float) -> None:
    """Send many requests with large answers behind one another."""
    for _ in range(PIPELINES):
        soak.send_pipeline(machine, PIPELINED_COUNT, large_share=1.0)


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


def leave_at_restart(soak: Soak, machine: Machine, seconds: float) -> None:
    """Restart a process, and let its server leave before it has announced itself there.

    A heartbeat from before arrives later. Checks that the server gets no requests
    after its leaving was acknowledged.
    """
    server = machine.server
    instance, started_at = server.instance, server.started_at
    server.delay_heartbeat(soak.rng.uniform(*LATE_HEARTBEAT_S))
    machine.send_signal(signal.SIGKILL)
    soak.call_later(RESTART_S, machine.start)

    def leave() -> None:
        if server.started_at != started_at:
            return
        # A notice without a start counts by the machine's clock, which must not have
        # been set back since the start that it is about.
        clock_moved = machine.clock_moved_at >= started_at or machine.clock_offset_s
        server.deregister(bool(clock_moved) or soak.rng.random() < 0.5)

    def check_and_restart() -> None:
        if server.started_at != started_at:
            return
        acknowledged_at = server.drain_acknowledged_at
        for request_id, run_by, time in server.runs:
            if acknowledged_at is None or run_by != instance:
                continue
            if time > acknowledged_at + DRAIN_GRACE_S:
                soak.violations.append(
                    f"{request_id} was executed by {instance}, which had left"
                )
        server.restart(keep_instance=soak.rng.random() < 0.5)

    soak.call_later(soak.rng.uniform(*LEAVING_DELAY_S), leave)
    soak.call_later(LATE_HEARTBEAT_S[1] + DRAIN_GRACE_S + seconds, check_and_restart)


def give_address_away(soak: Soak, machine: Machine, seconds: float) -> None:
    """Replace a server by one of another service at its address, and put it back.

    Nobody sends requests for that service, so none may be executed there.
    """
    server = machine.server
    server.service = OTHER_SERVICE
    server.restart()

    def put_back() -> None:
        if server.service != SERVICE:
            server.service = SERVICE
            server.restart()

    soak.call_later(seconds, put_back)


def name_rate_limit(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let a server name a rate limit for a while, and check that it is kept."""
    server = machine.server
    instance, started_at = server.instance, server.started_at
    limit_per_s = soak.rng.choice(LIMITS_PER_S)
    named_at = soak.loop.clock.now()
    server.name_rate_limit(limit_per_s)
    settled_at = named_at + LIMIT_SETTLE_S

    def check_and_end() -> None:
        if server.started_at == started_at:
            server.end_rate_limit()
        ended_at = server.rate_limit_ended_at or soak.loop.clock.now()
        times = [
            time
            for start, time in server.arrivals
            if start == started_at and settled_at <= time <= ended_at
        ]
        # Another fault may have changed the limit meanwhile.
        largest_per_s = max(
            limit for time, limit in server.named_limits if named_at <= time <= ended_at
        )
        allowed = LIMIT_RATIO * LIMIT_WINDOW_S * largest_per_s + LIMIT_EXTRA
        most = count_most(times, LIMIT_WINDOW_S)
        if most > allowed:
            soak.violations.append(
                f"{instance} with a limit of {limit_per_s} a second got {most} "
                f"requests in {LIMIT_WINDOW_S} s, {allowed} are allowed"
            )

    soak.call_later(LIMIT_SETTLE_S + LIMIT_WINDOW_S + seconds, check_and_end)


def leave_unannounced(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let a server say that it leaves in answers only; check that it gets no more."""
    server = machine.server
    instance = server.instance
    server.leaving = True

    def check_and_restart() -> None:
        seen_at = soak.leaving_seen_at.get(instance)
        if seen_at is not None:
            sent_at = {call.request_id: call.sent_at for call in soak.calls}
            for request_id, run_by, _ in server.runs:
                late = sent_at.get(request_id, 0.0) > seen_at + DRAIN_GRACE_S
                if run_by == instance and late:
                    soak.violations.append(
                        f"{request_id} was executed by {instance}, which had left"
                    )
        if server.instance == instance:
            server.restart()

    soak.call_later(2 * DRAIN_GRACE_S + seconds, check_and_restart)


# Faults that are listed twice are chosen twice as often.
FAULTS = (
    kill_process,
    stop_process,
    pause_process,
    pause_two_processes,
    pause_past_revocation,
    reload_settings,
    impair_links,
    impair_links,
    jump_clock,
    impair_store,
    compact_store_history,
    restore_store,
    silence_connections,
    change_configuration,
    impair_server,
    impair_server,
    send_without_end,
    pipeline_large_answers,
    replace_server,
    leave_at_restart,
    give_address_away,
    name_rate_limit,
    leave_unannounced,
)
