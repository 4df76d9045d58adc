"""Runners of which another writer says that they drain, for another service."""

import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness3 as h

FOREIGN_SERVICE = "other"
DAY_S = 25.0
REQUEST_PAUSE_S = 0.5


def send_foreign_heartbeat(record, runner):
    """One call under the runner's id that names another service."""
    body = dict(runner.heartbeat(), service=FOREIGN_SERVICE, state="draining")
    answer = h.call(runner.agent_port, "POST",
                    f"/Instances.Heartbeat/{runner.name}", body, timeout=1)
    record.log(f"another writer's heartbeat for {runner.name}: service "
               f"{FOREIGN_SERVICE}, draining: {answer}")


def play(record):
    fleet = h.Fleet(record, entries=2, agents=2)
    try:
        fleet.start()
        time.sleep(2)
        if h.TROUBLE:
            for runner in fleet.runners:
                send_foreign_heartbeat(record, runner)
        time.sleep(2)
        served = sent = 0
        until = h.now() + DAY_S
        while h.now() < until:
            job = h.new_job()
            answer = h.submit(fleet.entries[sent % 2], job, work_ms=50,
                              deadline_ms=1500)
            sent += 1
            served += bool(answer) and answer[0] == 200
            record.log(f"POST {job}: {answer}")
            time.sleep(REQUEST_PAUSE_S)
        acked = [sum(state == "ready" for _, state in runner.heartbeats_acked)
                 for runner in fleet.runners]
        record.log(f"{served} of {sent} requests were served; the runners' own "
                   f"heartbeats (ready) were acknowledged {acked} times")
        if not served:
            record.log("Fault: no request was served")
        return h.HELD if served else h.BROKEN
    finally:
        fleet.stop()


sys.exit(h.run_case(Path(__file__).resolve().parent, play))
