"""The answer to a start is lost by a reset, and the next connection too."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness

JOB = "5c0e7a21d94b36f8"
TASK = JOB + ".0.0.0"
BUSY_MS = 9000
RUN_MS = 700


def case(site, has_trouble):
    # Short jobs, after which each agent keeps idle connections to its runner.
    for number in range(3):
        site.submit("edge-0", "6c0e7a21d94b36f%d" % number, run_ms=50, tasks=6)
    # All runners but one are busy.
    busy = ["7c0e7a21d94b36f%d" % number for number in range(len(site.agents) - 1)]
    threads = [threading.Thread(target=site.submit, args=("edge-0", job),
                                kwargs={"run_ms": BUSY_MS, "deadline_ms": 12000})
               for job in busy]
    for thread in threads:
        thread.start()
    used = {site.wait_running(job + ".0.0.0") for job in busy}
    time.sleep(0.5)
    free = [agent for agent in site.agents if agent not in used][0]
    if has_trouble:
        site.proxies[free].lose_next_answer("/run-start")
    status, _ = site.submit("edge-0", JOB, run_ms=RUN_MS, deadline_ms=3000)
    for thread in threads:
        thread.join()
    starts = [item for item in site.ended_runs(TASK)]
    if status in (429, 503) and starts:
        return ["%s was rejected with %d, and its task started at %s, which "
                "ended it after %.0f ms: %s" % (
                    JOB, status, item["runner"],
                    1000 * (item["to"] - item["from"]), item.get("how"))
                for item in starts]
    return site.overlaps()


harness.run_case(__file__, case, prepare=harness.Site.add_proxies, entries=3,
                 agents=4)
