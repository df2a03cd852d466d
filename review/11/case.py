"""A hold of a worker's former life is carried out by the next one and prolongs
its lease, on a clock that began anew. Then the worker is cut off and runs on.

Three workers with one task each, which fills over half of them; three entries.
One hold of the first worker is left unanswered and carried out 6 s later. The
worker crashes 0.5 s after the hold, is back under its id 0.3 s later and gets
its task again. When the hold has been carried out the worker is cut off from
all entries for 5.5 s, and runs on."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib3"))
from case import TROUBLE, Site, main, now_ms  # noqa: E402

LATE_S = 6.0  # applied_late: carried out 2 to 12 s later
CUT_S = 5.5  # node_cut, servers
HOLD_MAX_MS = 6000  # maxHoldMs


async def submit(site, job):
    site.add_job(job, {"spec": "work", "steps": [
        {"count": 1, "cpu": 9000, "memMb": 64, "estimatedMs": 11000, "workMs": 11000}]})
    for i in range(5):
        if await site.submit(site.entries[i % 3], job) == 200:
            return
        await asyncio.sleep(0.3)


async def case(record, site_dir):
    site = Site(record, workers=3, cpu=16000, hold_max=HOLD_MAX_MS, keep=site_dir)
    first = site.workers["i-pool0-0"]
    kept = {"hold": None}

    def late(path, body):
        if path == "/-/hold" and kept["hold"] is None and body.get("deadlineMs", 0) > 0:
            kept["hold"] = now_ms()
            record.line("hold with deadlineMs %d is left unanswered at clock %d" % (
                body["deadlineMs"], first.clock()))
            return LATE_S
        return 0

    try:
        await site.start()
        assert await site.wait_owner()
        await asyncio.sleep(9)
        for n in range(3):
            await submit(site, "%016x" % (n + 1))
        end = now_ms() + 5000
        while not first.runs and now_ms() < end:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        if TROUBLE:
            first.late = late
            while kept["hold"] is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            first.crash()
            await asyncio.sleep(0.3)
            await first.restart()
            await asyncio.sleep((kept["hold"] + LATE_S * 1000 + 300 - now_ms()) / 1000)
            runs = len(first.runs)
            record.line("%s is cut off, it has %d runs" % (first.name, runs))
            first.http.set_mode("silent")
            await asyncio.sleep(CUT_S)
            first.http.set_mode("open")
            first.http.reset()
            record.line("%s is reachable again" % first.name)
        else:
            await asyncio.sleep(LATE_S + CUT_S)
            runs = len(first.runs)
        end = now_ms() + 45000
        while not all(site.all_done(j) for j in site.jobs) and now_ms() < end:
            await asyncio.sleep(0.1)
        record.line("%d jobs, %d done, %d starts" % (
            len(site.jobs), sum(site.all_done(j) for j in site.jobs), len(site.starts)))
        return runs > 0 or not TROUBLE
    finally:
        await site.stop()


main(case)
