"""TWICE: a server crashes silently and is back under its id within half a second.

A start that reaches the new life before the entry has heard of it is taken for
one of the former life, and the task is started again elsewhere.
"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import standin  # noqa: E402

JOB = "00000000000000a6"
TASK_MS = 4000


def case(p, trouble):
    # Tasks go to the server with the least free CPU that has room.
    small = p.add_worker("i-small", cpu=4000)
    for n in range(6):  # one of seven crashes: a share of 0.143
        p.add_worker("i-large-%d" % n, cpu=16000)
    p.wait_ready()
    time.sleep(1.0)
    if trouble:
        small.go_dark()
        time.sleep(0.5)
        small.start_again(register_after=1.0)
        time.sleep(0.1)
    status, _ = p.entries[0].call("POST", standin.PREFIX + JOB,
                                  standin.job(TASK_MS))
    if status != 200:
        raise RuntimeError("the job was not accepted")

    def is_done():
        return p.entries[1].call("GET", standin.PREFIX + JOB)[1].get(
            "state") == "done" or time.sleep(0.4)
    p.wait(is_done, 20, "the job is done")
    return ["run %d of %s started on %s while %s was under way" % (
        run, task, worker, others) for task, run, worker, others in p.twice]


sys.exit(standin.run_case(HERE, case))
