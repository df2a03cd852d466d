"""A route is taken away and given back; meanwhile a task of it fails once."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

JOB = "5c0e7a21d94b36f8"
AWAY_S = 4.0
SERVICES = [{"name": "intake", "admissionCheck": True}]
TENANTS = [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
            "maximum": {"cpu": 64000}}]


def route(name):
    return {"name": name, "host": "desk.example", "prefix": "/%s/" % name,
            "service": "intake", "priority": 0, "maxAttempts": 4,
            "stretch": 2, "targetCompletionMs": 600, "timeoutMs": 3000}


def run(site):
    both = [route("checks"), route("other")]
    site.configure(both, SERVICES, TENANTS)
    for n in (1, 2):
        site.add_worker("i-%d" % n, "intake")
    site.add_entries(["zone-a", "zone-b"])
    site.wait_until_ready()
    # Each task fails once by its own fault, after 4 s, and is done then.
    site.submit("/checks/", JOB, {
        "spec": "ms=4000 fail=1",
        "steps": [{"count": 2, "cpu": 2000, "memMb": 1024,
                   "estimatedMs": 4000}]})
    time.sleep(2)
    if site.is_troubled:
        site.configure(both[1:], SERVICES, TENANTS)
        time.sleep(AWAY_S)
        site.configure(both, SERVICES, TENANTS)
    else:
        time.sleep(AWAY_S)
    time.sleep(10 + standin.FINISH_S)
    state = site.wait_for("/checks/", JOB, ("done", "failed"), 10)
    if state != "done":
        ends = [t for t in site.history if site.count_failed(t)]
        site.broken("LOST", "the job is shown as %s; %s" % (state, ", ".join(
            "%s ended failed %d time(s) of 4" % (t, site.count_failed(t))
            for t in ends)))


standin.main(run, __file__)
