"""The host service does not answer for 5 s, while a pool has idle machines.

Later two of its four machines are full, and a job waits for a third one.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

FIRST, LONG, LAST = ("5c0e7a21d94b36f%d" % n for n in range(3))
SILENT_S = 5.0
ROUTE = {"name": "checks", "host": "desk.example", "prefix": "/checks/",
         "service": "intake", "priority": 0, "maxAttempts": 3, "stretch": 2,
         "targetCompletionMs": 600, "timeoutMs": 3000}


def job(count, cpu, ms):
    return {"spec": "ms=%d" % ms, "steps": [
        {"count": count, "cpu": cpu, "memMb": 1024, "estimatedMs": ms}]}


def run(site):
    site.configure([ROUTE], [{"name": "intake", "admissionCheck": True},
                             {"name": "spare", "admissionCheck": True,
                              "standby": True}],
                   [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
                     "maximum": {"cpu": 320000}}])
    for n in range(4):
        site.add_worker("i-%d" % n, "intake")
    site.add_entries(["zone-a", "zone-b"])
    site.wait_until_ready()
    # Work on all four machines, which is done soon.
    site.submit("/checks/", FIRST, job(4, 30000, 1500))
    if site.wait_for("/checks/", FIRST, ("done",), 10) != "done":
        raise standin.CannotRun("the first job is not done")
    if site.is_troubled:
        site.hosts.is_silent = True
        site.record.add("host service: silent")
        time.sleep(SILENT_S)
        site.hosts.is_silent = False
        site.record.add("host service: answers again")
    time.sleep(15)
    site.submit("/checks/", LONG, job(2, 30000, 60000))
    time.sleep(4)
    site.submit("/checks/", LAST, job(1, 30000, 2000))
    time.sleep(standin.FINISH_S)
    with site.lock:
        begun = [s for s in site.starts if s[1].startswith(LAST)]
        starts = [s for s in site.starts if s[1].startswith(LONG)]
    if len(starts) < 2:
        raise standin.CannotRun("the long job does not run on two machines")
    for end in range(6):
        time.sleep(0.5)
        with site.lock:
            begun = [s for s in site.starts if s[1].startswith(LAST)]
        if begun:
            return
    pool = [w for w in site.workers.values()
            if w.service == "intake" and not w.is_off]
    idle = [w.name for w in pool if not w.runs]
    site.record.add("in the pool: %s; idle: %s" % (
        [w.name for w in pool], idle))
    if len(idle) >= 2:
        site.broken("LOST", "%s.0.0.0 has not run for %d s, though %s of its "
                    "service are up and run nothing; 60 of %d cores are in "
                    "use" % (LAST, standin.FINISH_S + 3, " and ".join(idle),
                             sum(w.cpu for w in pool) / 1000))


standin.main(run, __file__)
