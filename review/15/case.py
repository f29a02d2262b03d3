"""Withdraw keys while one machine is suspended, and go on using them there."""

import json
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as f  # noqa: E402

MACHINES = 10
ROUNDS = 10
CALLERS = 10
# RULES.md, CONFIG: the bounds of the deployment.
REVOKE_S = 5.0
BOUNDS = f"strict-revocation = true\nrevoke-s = {REVOKE_S}"
SUSPENDED_S = 6.0
# When the key is withdrawn, from the begin of the suspension.
WITHDRAWN_S = 0.6
CALM_S = 1.5
# The configuration has routes as after `big_config`, and tenants as the deployment has.
ROUTES = 1400
TENANTS = 81
BUDGET_S = 4.0


def make_table(version, withdrawn):
    """Return a version in which the first keys are withdrawn."""
    keys = [f"key-{number}" for number in range(withdrawn, ROUNDS)]
    tenants = []
    for number in range(TENANTS):
        body = {
            "api-keys": keys if number == 0 else [f"other-{number}"],
            "priority": 1,
            "rate-per-s": 1000,
            "burst": 1000,
        }
        tenants.append(
            {
                "resource-kind": "tenants",
                "metadata": {"name": f"t{number}"},
                "specification": body,
            }
        )
    routes = [f.route("r", "/safe/", "safe", BUDGET_S)]
    for number in range(ROUTES):
        routes.append(f.route(f"m{number}", f"/more/{number}/", "safe", BUDGET_S))
    return json.dumps(f.configuration(version, routes, tenants=tenants))


class Caller:
    """One caller with a kept connection to the machine."""

    def __init__(self, machine):
        self._sock = socket.create_connection(
            (machine.ip, f.PORTS["outbound"]), timeout=BUDGET_S + 1
        )

    def send(self, name, key):
        data = (
            f"GET /safe/x HTTP/1.1\r\nHost: {f.HOST}\r\nRequest-Id: {name}\r\n"
            f"Authorization: Token {key}\r\n"
            f"Deadline-Milliseconds: {int(BUDGET_S * 1000)}\r\n\r\n"
        )
        self._sock.sendall(data.encode())

    def read_status(self):
        """Return the status of the answer, 0 for none."""
        try:
            return int(self._sock.recv(65536)[9:12] or 0)
        except OSError:
            return 0

    def close(self):
        self._sock.close()


def play_round(number, fleet, machine):
    """Withdraw one key; return the names of what was sent too late with it."""
    record = fleet.record
    key = f"key-{number}"
    callers = [Caller(machine) for _ in range(CALLERS)]
    statuses = []
    for index, caller in enumerate(callers):
        caller.send(f"w{number}x{index}", key)
        statuses.append(caller.read_status())
    record.write(f"round {number}: before, {statuses}")
    began = time.monotonic()
    if f.disturbed():
        machine.process.send_signal(signal.SIGSTOP)
        record.write(f"machine {machine.number} is suspended")
    time.sleep(WITHDRAWN_S)
    confirmed = f.put_configuration(fleet.store_ip, make_table(number + 2, number + 1))
    record.write(f"{key} is withdrawn")
    late = []
    # All of these are sent after the time, and before the machine wakes.
    first = confirmed + REVOKE_S + 0.1
    step_s = (began + SUSPENDED_S - 0.05 - first) / CALLERS
    for index, caller in enumerate(callers):
        time.sleep(max(0, first + index * step_s - time.monotonic()))
        name = f"k{number}x{index}"
        sent = time.monotonic()
        caller.send(name, key)
        late.append(name)
        record.write(f"{name} sent {sent - confirmed:.3f} s after the confirmation")
    time.sleep(max(0, began + SUSPENDED_S - time.monotonic()))
    machine.process.send_signal(signal.SIGCONT)
    record.write(f"machine {machine.number} goes on")
    statuses = [caller.read_status() for caller in callers]
    record.write(f"answers: {statuses}")
    for caller in callers:
        caller.close()
    return late


def main():
    fleet = f.Fleet(FOLDER, MACHINES, more_bounds=BOUNDS)
    record = fleet.record
    try:
        fleet.start_store([("config", "main", make_table(1, 0))])
        for machine in fleet.machines:
            machine.start()
        fleet.watch()
        for machine in fleet.machines:
            machine.start_server("--slots", "16")
        f.wait_until(lambda: all(m.is_ready() for m in fleet.machines), "ready")
        time.sleep(CALM_S)
        late = []
        for number in range(ROUNDS):
            late += play_round(number, fleet, fleet.machines[number % MACHINES])
            time.sleep(CALM_S)
        ran = {line[1] for m in fleet.machines for line in m.list_runs()}
        used = [name for name in late if name in ran]
        record.write(
            f"{len(used)} of {len(late)} requests sent over {REVOKE_S} s after the "
            f"withdrawal of their key ran: {used}"
        )
        ends = [m.own_ends for m in fleet.machines if m.own_ends]
        record.write(f"ends {ends}")
        if not any(name.startswith("w") for name in ran):
            return 2
        if used:
            record.write("BROKEN: requests with a withdrawn key ran")
            return 1
        record.write("held")
        return 0
    except TimeoutError as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        fleet.close()


sys.exit(main())
