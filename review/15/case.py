"""Workers are replaced one after the other; the new ones have ids of 81 bytes.

Five workers, two of them of kind "b"; three entries. The two of kind "b" are
replaced: the new one starts first, the old one drains and leaves. Jobs come
before, meanwhile and afterwards, half of them with the requirement "b".
IDS=short gives the new workers short ids."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib3"))
from case import TROUBLE, Site, main, now_ms  # noqa: E402
from site3 import Worker  # noqa: E402

FINISH_S = 14.0  # finish_s
GAP_S = 1.0  # release: between two replacements
LONG = "verdict-service-production-7d9c6b5f4d-%s.akl.workers.newsroom.example.internal"


async def clients(site, until):
    n = 0
    while now_ms() < until:
        n += 1
        job = "%016x" % n
        step = {"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 300, "workMs": 300}
        if n % 2:
            step["requirements"] = "b"
        site.add_job(job, {"spec": "work", "steps": [step]})
        await site.submit(site.entries[n % 3], job)
        await asyncio.sleep(0.25)


async def replace(site, old, name):
    new = site.workers[name] = Worker(site, name, old.pool, old.machine, old.rack, old.cpu, old.kind)
    await new.http.start()
    await new.register()
    site.record.line("worker %s starts (kind %s)" % (name, new.kind))
    await asyncio.sleep(0.5)
    old.state = "draining"
    await old.register()
    site.record.line("worker %s drains" % old.name)
    await asyncio.sleep(4)
    for task in list(old.runs):
        old.end(task, "stopped")
    old.is_up = False
    old.http.set_mode("off")
    await site.store.operator("servers/" + old.name, None)
    site.record.line("worker %s has left" % old.name)


async def case(record, site_dir):
    site = Site(record, workers=5, cpu=16000, keep=site_dir)
    olds = [site.workers["i-pool0-3"], site.workers["i-pool0-4"]]
    for w in olds:
        w.kind = "b"
    try:
        await site.start()
        assert await site.wait_owner()
        await asyncio.sleep(2)
        load = asyncio.create_task(clients(site, now_ms() + 16000))
        await asyncio.sleep(4)
        if TROUBLE:
            tasks = []
            for i, w in enumerate(olds):
                name = "i-new-%d" % i if os.environ.get("IDS") == "short" else LONG % ("x2x9%d" % i)
                tasks.append(asyncio.create_task(replace(site, w, name)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*tasks)
        await load
        await asyncio.sleep(FINISH_S)
        accepted = [j for j in site.jobs if "accepted" in site.jobs[j]]
        never = [j for j in accepted if not any(t.startswith(j) for _, t, *_ in site.starts)]
        await asyncio.sleep(3)
        for j in never:
            if any(t.startswith(j) for _, t, *_ in site.starts):
                continue
            status, state = await site.state(site.entries[0], j)
            free = sum(w.cpu - w.used() for w in site.workers.values() if w.is_up and w.kind == "b")
            if free >= 2000:
                record.breaks("LOST", "job %s (state %s) has nothing running for 3 s, %.0f s after "
                              "the end of the traffic; workers of kind b have %d cpu free" % (
                                  j, state, FINISH_S, free))
        record.line("%d jobs, %d accepted, %d done, %d starts" % (
            len(site.jobs), len(accepted), sum(site.all_done(j) for j in site.jobs), len(site.starts)))
        return len(accepted) > 20
    finally:
        await site.stop()


main(case)
