"""UNASKED: a cancelled job runs, as its submission was stored late.

The store loses the answer to the write of a submission and carries the write out
5.5 s later. The client gets 504, cancels, and gets 410. The job runs all the same.
"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import standin  # noqa: E402

JOB = "00000000000000a8"
CANCEL_S = 3.0  # the bound cancel_ms
LATE_S = 5.5


def case(p, trouble):
    for n in range(3):
        p.add_worker("i-%d" % n)
    p.wait_ready()
    time.sleep(1.0)
    path = standin.PREFIX + JOB

    def late(body):
        """The first write of the submission, and only that one."""
        if any(w["key"].endswith("/" + JOB) for w in body["writes"]):
            p.store.late = None
            return LATE_S
        return None
    if trouble:
        p.store.late = late
    first = p.entries[0]
    status, _ = first.call("POST", path, standin.job(500))
    status, _ = first.call("DELETE", path)
    if not (200 <= status < 300 or status == 410):
        raise RuntimeError("the cancelling was not acknowledged")
    acknowledged = p.record.now()
    time.sleep(LATE_S + 3.0)
    for e in p.entries:
        e.call("GET", path)
    return ["%s was started on %s %.1f s after its cancelling was "
            "acknowledged" % (task, worker, at - acknowledged)
            for at, worker, task, _ in p.starts
            if at > acknowledged + CANCEL_S]


sys.exit(standin.run_case(HERE, case))
