"""The connections of an agent to its runner are reset twice in a row."""

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
        kwargs={"run_ms": 4000, "deadline_ms": 10000})
    client.start()
    agent = site.wait_running(TASK)
    time.sleep(0.3)
    if has_trouble:
        site.record.note("proxy", "resets connections of " + agent)
        count = site.proxies[agent].reset_connections(harness.RESET_PERIOD)
        site.record.note("proxy", "has reset %d, and those opened meanwhile" % count)
    client.join()
    return site.overlaps()


harness.run_case(__file__, case, prepare=harness.Site.add_proxies,
                 entries=3, agents=11)
