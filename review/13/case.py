"""A deployment whose bound grace-s is a fraction."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness3 as h

GRACE_S = 4.5 if h.TROUBLE else 6
DAY_S = 20.0
RESTART_S = 0.5
REQUEST_PAUSE_S = 0.5
# RULES.md, Fault: ends by itself three times, on a tenth of the machines in
# use, two at least.
MAX_EXITS = 3
MIN_MACHINES = 2


def restart_ended(machine, ended_at):
    """The platform starts a process again shortly after it has ended."""
    if machine.process.poll() is None:
        return
    if machine.name not in ended_at:
        ended_at[machine.name] = h.now()
        machine.exits.append(machine.process.returncode)
        machine.fleet.record.log(
            f"{machine.name} ended by itself with {machine.process.returncode}")
    elif h.now() - ended_at[machine.name] >= RESTART_S:
        del ended_at[machine.name]
        machine.start()


def play(record):
    record.log(f"grace-s {GRACE_S}")
    fleet = h.Fleet(record, entries=2, agents=2, bounds={"grace-s": GRACE_S})
    machines = fleet.entries + fleet.agents
    try:
        for machine in machines:
            machine.start()
        until = h.now() + DAY_S
        ended_at = {}
        served = sent = 0
        next_request = h.now() + 3
        while h.now() < until:
            for machine in machines:
                restart_ended(machine, ended_at)
            if h.now() >= next_request:
                next_request = h.now() + REQUEST_PAUSE_S
                job = h.new_job()
                answer = h.submit(fleet.entries[sent % 2], job, work_ms=50,
                                  deadline_ms=1500)
                sent += 1
                served += bool(answer) and answer[0] == 200
                record.log(f"POST {job}: {answer}")
            time.sleep(0.02)
        bad = [machine for machine in machines
               if len(machine.exits) >= MAX_EXITS]
        for machine in bad:
            last_line = machine.log_text().splitlines()[-1]
            record.log(f"FAULT: {machine.name} ended by itself "
                       f"{len(machine.exits)} times; it wrote: "
                       f"{last_line.replace(str(fleet.folder), 'FOLDER')}")
        record.log(f"{served} of {sent} requests were served")
        if not served:
            record.log("FAULT: no request was served")
        is_broken = len(bad) >= MIN_MACHINES or not served
        return h.BROKEN if is_broken else h.HELD
    finally:
        fleet.stop()


sys.exit(h.run_case(Path(__file__).resolve().parent, play))
