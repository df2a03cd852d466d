"""A worker is lost for good, so that lasting jobs miss one task each.

Their tasks have to be on different workers. Later short work comes, for which
the other workers have room.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

WORKERS = 8  # one of them is 12.5%
LASTING = ["5c0e7a21d94b30%02x" % n for n in range(26)]
SHORT = ["5c0e7a21d94b36f%d" % n for n in range(3)]


def route(name):
    return {"name": name, "host": "desk.example", "prefix": "/%s/" % name,
            "service": "intake", "priority": 0, "maxAttempts": 4,
            "stretch": 2, "targetCompletionMs": 600, "timeoutMs": 3000}


def run(site):
    site.configure([route("register"), route("checks")],
                   [{"name": "intake", "admissionCheck": True},
                    {"name": "spare", "admissionCheck": True,
                     "standby": True}],
                   [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
                     "maximum": {"cpu": 320000}}])
    for n in range(WORKERS):
        site.add_worker("i-%d" % n, "intake")
    for n in range(2):
        site.add_worker("s-%d" % n, "spare")
    site.add_entries(["zone-a", "zone-b"])
    site.wait_until_ready()
    for job in LASTING:
        site.submit("/register/", job, {"spec": "ms=600000", "steps": [
            {"count": WORKERS, "cpu": 400, "memMb": 256, "longRunning": True,
             "antiAffinity": 1}]})
    time.sleep(2)
    if site.is_troubled:
        lost = site.workers["i-1"]
        lost.crash()
        time.sleep(4.5)
        site.store.operator_delete("servers/i-1")
    else:
        time.sleep(4.5)
    time.sleep(6)
    for job in SHORT:
        site.submit("/checks/", job, {"spec": "ms=800", "steps": [
            {"count": 6, "cpu": 1600, "memMb": 1024, "estimatedMs": 800}]})
        time.sleep(1)
    time.sleep(standin.FINISH_S + 3)
    for job in SHORT:
        if [s for s in site.starts if s[1].startswith(job)]:
            continue
        site.broken("LOST", "no task of job %s has run for %d s, though on %s "
                    "are free" % (job, standin.FINISH_S + 3, ", ".join(
                        "%s %.1f of 32 cores" % (w.name, w.free()[0] / 1000)
                        for w in site.workers.values()
                        if w.service == "intake" and not w.is_off)))


standin.main(run, __file__)
