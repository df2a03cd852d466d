"""The leader is killed while a job has a checkpoint of more than 4,000 bytes."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import standin  # noqa: E402

JOB = "5c0e7a21d94b36f8"
ROUTE = {"name": "upkeep", "host": "desk.example", "prefix": "/upkeep/",
         "service": "intake", "priority": 0, "maxAttempts": 3, "stretch": 2,
         "targetCompletionMs": 600, "timeoutMs": 3000}


def run(site):
    site.configure([ROUTE], [{"name": "intake", "admissionCheck": True}],
                   [{"name": "t1", "weight": 1, "apiKeys": ["key-1"],
                     "maximum": {"cpu": 64000}}])
    for n in (1, 2, 3):
        site.add_worker("i-%d" % n, "intake", zone="zone-a")
    site.add_entries(["zone-a", "zone-b", "zone-c"])
    site.wait_until_ready()
    # Task 0 ends after 3 s; tasks 1 to 3 work on, with checkpoints.
    site.submit("/upkeep/", JOB, {
        "spec": "ms.0=3000 ms=9000 save=4096",
        "steps": [{"count": 4, "cpu": 2000, "memMb": 1024,
                   "estimatedMs": 9000, "checkpointing": True}]})
    time.sleep(4.5)
    if site.is_troubled:
        site.leader().kill_and_restart()
    # All tasks of the job together take under 12 s on sound workers; the
    # lease of the killed leader's runs is at most 10 s.
    time.sleep(26 + standin.FINISH_S)
    state = site.wait_for("/upkeep/", JOB, ("done",), 4)
    with site.lock:
        running = [t for t, w in site.running.items() if w]
    site.record.add("at the end the job is %s; running: %s" % (state, running))
    if state != "done":
        site.broken("LOST", "the accepted job is %s, and %d of its tasks "
                    "run, though all workers are free" % (
                        state, len(running)))


standin.main(run, __file__)
