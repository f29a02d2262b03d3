"""Move the store to another address, as the settings files then say."""

import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as f  # noqa: E402

MACHINES = 6
FORMER = "orders"
LATTER = "patterns"
# RULES.md and the settings: config-propagation-s, and stability-window-s.
PROPAGATION_S = 2.0
STABILITY_S = 3.0
WATCH_S = 25.0
BUDGET_S = 2.0


def make_table(version, moved):
    """Return a version with a route of one or of the other service."""
    routes = [
        f.route("moved", "/moved/", "safe", 4.0, 1.0, LATTER if moved else FORMER)
    ]
    if not moved:
        routes.append(f.route("dropped", "/dropped/", "safe", 4.0, 1.0, FORMER))
    return json.dumps(f.configuration(version, routes, (FORMER, LATTER)))


def main():
    fleet = f.Fleet(FOLDER, MACHINES)
    record = fleet.record
    half = MACHINES // 2
    for machine in fleet.machines[half:]:
        machine.service = LATTER
        machine.write_settings()
    next_ip = f"{fleet.prefix}.251"
    try:
        fleet.start_store(
            [("config", "main", make_table(1, False))], "--next-ip", next_ip
        )
        for machine in fleet.machines:
            machine.start()
        fleet.watch()
        for machine in fleet.machines:
            machine.start_server()
        f.wait_until(lambda: all(m.is_ready() for m in fleet.machines), "ready")
        time.sleep(4)
        if f.disturbed():
            fleet.store_ip = next_ip
            for machine in fleet.machines:
                machine.write_settings()
                machine.process.send_signal(signal.SIGHUP)
            record.write(f"the settings name the store at {next_ip}; SIGHUP to all")
            time.sleep(2)
            fleet.store.send_signal(signal.SIGUSR1)
            record.write("the store no longer listens at its former address")
        time.sleep(2 * STABILITY_S)
        confirmed = f.put_configuration(fleet.store_ip, make_table(2, True))
        record.write("version 2 is confirmed: a route goes elsewhere, one is dropped")
        number = 0
        late = old = 0
        former = {m.number for m in fleet.machines[:half]}
        asked = {}
        while time.monotonic() < confirmed + WATCH_S:
            for machine in fleet.machines:
                number += 1
                sent = time.monotonic() - confirmed
                counts = sent > PROPAGATION_S
                late += 2 * counts
                status, _ = f.call(
                    machine.ip, "GET", "/dropped/x", f"d{number:05d}", BUDGET_S
                )
                old += counts and status == 200
                name = f"m{number:05d}"
                asked[name] = counts
                other, _ = f.call(machine.ip, "GET", "/moved/x", name, BUDGET_S)
                record.write(
                    f"{sent:.1f} s after: machine {machine.number} answers {status} on "
                    f"the dropped route, {other} on the moved one"
                )
            time.sleep(0.3)
        for machine in fleet.machines:
            for line in machine.list_runs():
                old += machine.number in former and asked.get(line[1], False)
        record.write(f"{old} of {late} requests were handled as by version 1")
        ends = [m.own_ends for m in fleet.machines if m.own_ends]
        record.write(f"ends {ends}")
        if not late:
            return 2
        if old:
            record.write(
                "BROKEN: requests were handled as only an older version allows"
            )
            return 1
        record.write("held")
        return 0
    except TimeoutError as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        fleet.close()


sys.exit(main())
