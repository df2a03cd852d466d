"""The store is down while more than 500 ends wait at a worker."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

JOBS, WIDTH = 25, 24  # 600 tasks of a twentieth of a core, 30 cores together
DOWN_S = 4.5
ROUTE = {"name": "checks", "host": "desk.example", "prefix": "/checks/",
         "service": "intake", "priority": 0, "maxAttempts": 3, "stretch": 2,
         "targetCompletionMs": 600, "timeoutMs": 3000}


def run(site):
    site.configure([ROUTE], [{"name": "intake", "admissionCheck": True}],
                   [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
                     "maximum": {"cpu": 64000}}])
    for n in (1, 2):
        site.add_worker("i-%d" % n, "intake")
    site.add_entries(["zone-a", "zone-b"])
    site.wait_until_ready()
    jobs = ["%016x" % (0x5c0e7a21d94b3000 + i) for i in range(JOBS)]
    for job in jobs:
        site.submit("/checks/", job, {
            "spec": "ms=6000",
            "steps": [{"count": WIDTH, "cpu": 50, "memMb": 64,
                       "estimatedMs": 6000}]})
    end = time.monotonic() + 4
    while len(site.starts) < JOBS * WIDTH and time.monotonic() < end:
        time.sleep(0.05)
    site.record.add("%d tasks are started" % len(site.starts))
    if len(site.starts) < JOBS * WIDTH:
        raise standin.CannotRun("not all tasks were started in time")
    if site.is_troubled:
        # Down before the first end, up again after the last one.
        first = site.starts[0][0] + 6.0
        time.sleep(max(first - 0.5 - standin.now_s(), 0))
        site.store.mode = "busy"
        site.record.add("store: down (503)")
        time.sleep(DOWN_S)
        site.store.mode = "up"
        site.record.add("store: up")
    time.sleep(10 + standin.FINISH_S)
    for job in jobs:
        state = site.wait_for("/checks/", job, ("done",), 5)
        if state != "done":
            site.broken("LOST", "job %s is %s" % (job, state))
    standin.check_twice(site)


standin.main(run, __file__)
