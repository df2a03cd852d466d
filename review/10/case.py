"""MIXED: a late write of the owner puts an old count of pending jobs in force.

Jobs wait for the limit of their tenant. The store loses the answer to one write
of the owner's counts and carries the write out 5.5 s later, after newer counts
were stored. All entries then answer with the old count, and go on doing so.
"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import standin  # noqa: E402

COUNTS = "camphorshed/control/queues"
LATE_S = 5.5
VISIBLE_S = 3.0 + 2.0  # visible_ms + 2 s
JOBS = 10
TENANT = {"name": "tenant-a", "apiKeys": [standin.KEY], "weight": 1,
          "maximum": {"cpu": 1000, "memMb": 0, "gpu": 0}}


def case(p, trouble):
    for n in range(3):
        p.add_worker("i-%d" % n)
    p.wait_ready()
    lost = []

    def late(body):
        """The first write of the counts that tells of a waiting job."""
        for w in body["writes"]:
            if w["key"] == COUNTS and not lost:
                lost.append(p.record.now())
                p.store.late = None
                return LATE_S
        return None

    def submit(n, ms):
        status, _ = p.entries[n % 2].call(
            "POST", "%s%016x" % (standin.PREFIX, 0xaa00 + n), standin.job(ms))
        if status != 200:
            raise RuntimeError("a job was not accepted")
    submit(0, 60000)  # takes up the tenant's maximum
    p.wait(lambda: p.starts, 10, "the first job runs")
    time.sleep(1.0)
    if trouble:
        p.store.late = late
    submit(1, 1000)
    time.sleep(1.0)
    for n in range(2, JOBS + 1):
        submit(n, 1000)
    time.sleep(LATE_S + VISIBLE_S + 1.0)
    broken = []
    for _ in range(3):
        for e in p.entries:
            status, answer = e.call("GET", standin.PREFIX)
            pending = answer.get("pending", 0)
            if status == 200 and pending * 2 < JOBS:
                broken.append("%s gives %d pending jobs; %d were accepted over "
                              "%.0f s ago and have not begun" % (
                                  e.name, pending, JOBS, VISIBLE_S))
        time.sleep(2.0)
    if len(p.starts) != 1:
        raise RuntimeError("a waiting job has begun")
    return broken


sys.exit(standin.run_case(HERE, case, tenants=[TENANT]))
