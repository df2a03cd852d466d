"""A queue whose name has a space is added; its count of waiting jobs is asked.

Two workers, three entries. A new configuration adds a queue. Its first two jobs
fill the workers, ten more wait. NAME=plain adds it under a name without space,
as TROUBLE=0 does."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib3"))
from case import TROUBLE, Site, main  # noqa: E402

VISIBLE_S = 3.0  # visible_ms


async def case(record, site_dir):
    site = Site(record, workers=2, cpu=16000, keep=site_dir)
    name = "night checks" if TROUBLE and os.environ.get("NAME") != "plain" else "night-checks"
    try:
        await site.start()
        assert await site.wait_owner()
        await asyncio.sleep(2)
        site.routes.append(site.route(name, "/night/", "pool0"))
        await site.configure()
        await asyncio.sleep(3)
        for n in range(12):
            job = "%016x" % (n + 1)
            site.add_job(job, {"spec": "work", "steps": [
                {"count": 1, "cpu": 15000, "memMb": 64, "estimatedMs": 40000,
                 "workMs": 40000}]}, queue=name)
            await site.submit(site.entries[n % 3], job)
        await asyncio.sleep(VISIBLE_S + 2 + 2)  # and 2 s that the count may be old
        begun = {t.split(".")[0] for _, t, *_ in site.starts}
        waiting = sum("accepted" in site.jobs[j] and j not in begun for j in site.jobs)
        for e in site.entries:
            status, answer = await site.call(e, "GET", "/night/", "")
            pending = (answer or {}).get("pending")
            record.line("client: GET /night/ at %s -> %s %s; %d jobs wait" % (
                e.name, status, answer, waiting))
            if status == 200 and pending is not None and pending < waiting / 2:
                record.breaks("MIXED", "%s gives pending %s, %d accepted jobs wait" % (
                    e.name, pending, waiting))
        return waiting >= 8
    finally:
        await site.stop()


main(case)
