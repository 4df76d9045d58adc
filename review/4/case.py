"""The answer to a runner's deregistration is lost."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness

JOB = "5c0e7a21d94b36f8"
TASK = JOB + ".0.0.0"


def case(site, has_trouble):
    client = threading.Thread(
        target=site.submit, args=("edge-0", JOB),
        kwargs={"run_ms": 7000, "deadline_ms": 12000})
    client.start()
    agent = site.wait_running(TASK)
    runner = site.runners[agent]
    runner.state = "draining"
    site.record.note(runner.name, "drains, acknowledged: %d" % runner.send_beat())
    time.sleep(3)
    status = site.deregister(agent, is_answer_lost=has_trouble)
    if status == 200:
        runner.leave()
    else:
        time.sleep(3)
        runner.leave()
    client.join()
    return site.overlaps(0.02)


harness.run_case(__file__, case, entries=3, agents=11)
