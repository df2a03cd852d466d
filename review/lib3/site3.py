"""A small deployment on loopback: entries as processes; store, workers, host
list and advisor as stand-ins in this process, as the users' PROTOCOL.md has
them. Each entry reaches the store through an address of its own, so that it
can be cut off alone. All that is sent, answered and run goes to the record.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

T0 = time.monotonic()


def now_ms():
    return (time.monotonic() - T0) * 1000


class Record:
    def __init__(self, path):
        self.file = open(path, "w") if path else None
        self.broken = []

    def line(self, text):
        if self.file:
            self.file.write("%9.0f ms  %s\n" % (now_ms(), text))
            self.file.flush()

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.line("BROKEN %s: %s" % (rule, text))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Http:
    """A minimal HTTP/1.1 server. handler(method, path, headers, body) returns
    (status, object), or None to close without an answer."""

    def __init__(self, handler):
        self.handler, self.conns = handler, set()
        self.mode = "open"  # open | silent | reset | 503
        self.delay = 0.0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    def set_mode(self, mode):
        self.mode = mode
        if mode in ("reset", "off"):
            self.reset()

    def reset(self):
        for w in list(self.conns):
            try:
                w.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                w.transport.abort()
            except (OSError, AttributeError):
                pass

    async def serve(self, r, w):
        self.conns.add(w)
        try:
            while True:
                head = await r.readuntil(b"\r\n\r\n")
                rows = head.decode().split("\r\n")
                method, path, _ = rows[0].split(" ")
                headers = {k.strip().lower(): v.strip() for k, _, v in
                           (x.partition(":") for x in rows[1:] if x)}
                body = await r.readexactly(int(headers.get("content-length") or 0))
                if self.mode in ("reset", "off"):
                    break
                while self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.mode == "503":
                    out = (503, {})
                else:
                    out = await self.handler(method, path, headers,
                                             json.loads(body) if body else {})
                while self.mode == "silent":
                    await asyncio.sleep(3600)
                if out is None:
                    # No answer: nothing further comes on this connection.
                    await r.read()
                    break
                data = json.dumps(out[1] if out[1] is not None else {}).encode()
                w.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % (out[0], len(data)) + data)
                await w.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(w)
            w.close()


class Store:
    """The platform's store, linearizable, with leases and a history."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.compacted, self.next_lease = 10, 0, 5000
        self.changed = asyncio.Condition()
        self.lose, self.late, self.is_lapsing = 0.0, None, True
        self.on_txn = None
        self.rng = None

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, key, None))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def operator(self, key, value):
        self.revision += 1
        if value is None:
            self.remove(key)
        else:
            if not isinstance(value, str):
                value = json.dumps(value)
            self.put(key, base64.b64encode(value.encode()).decode())
        await self.notify()

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item[0]) if item else None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            gone = [l for l, (end, _) in self.leases.items()
                    if end < time.monotonic()] if self.is_lapsing else []
            for lease in gone:
                del self.leases[lease]
                self.revision += 1
                for key in [k for k, i in self.items.items() if i[3] == lease]:
                    self.record.line("store: lease %d ends, %s is removed" % (lease, key))
                    self.remove(key)
            if gone:
                await self.notify()

    def row(self, key, item):
        return {"key": key, "value": item[0], "revision": item[1],
                "created": item[2], "lease": item[3]}

    def handler(self, entry):
        async def handle(method, path, headers, body):
            url = urllib.parse.urlparse(path)
            q = dict(urllib.parse.parse_qsl(url.query))
            if url.path == "/-/kv-key":
                item = self.items.get(q["key"])
                return (200, dict(self.row(q["key"], item), at=self.revision)) \
                    if item else (404, {"at": self.revision})
            if url.path == "/-/kv-range":
                keys = sorted(k for k in self.items if k.startswith(q.get("prefix", ""))
                              and k > q.get("after", ""))
                return 200, {"items": [self.row(k, self.items[k]) for k in keys[:500]],
                             "hasMore": len(keys) > 500, "at": self.revision}
            if url.path == "/-/kv-watch":
                return await self.watch(q)
            if url.path == "/-/kv-lease":
                self.next_lease += 1
                ttl = max(body["ttlMs"], 1000)
                self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
            if url.path.startswith("/-/kv-keep/"):
                lease = int(url.path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttlMs": ttl}
            if url.path == "/-/kv-txn":
                if self.late:
                    delay = self.late(entry, body)
                    if delay:
                        asyncio.get_running_loop().create_task(
                            self.apply_late(delay, body))
                        return None
                out = await self.txn(entry, body)
                if self.lose and self.rng.random() < self.lose:
                    return None
                return out
            return 404, {}
        return handle

    async def apply_late(self, delay, body):
        await asyncio.sleep(delay)
        await self.txn("late", body)

    async def watch(self, q):
        after, end = int(q["after"]), time.monotonic() + int(q["waitMs"]) / 1000
        prefix = q.get("prefix", "")
        while True:
            if after < self.compacted:
                return 410, {}
            events, i = [], len(self.history)
            while i > 0 and self.history[i - 1][0] > after:
                i -= 1
            for rev, key, item in self.history[i:]:
                if key.startswith(prefix):
                    events.append(self.row(key, item) if item else
                                  {"key": key, "revision": rev, "deleted": True})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def txn(self, entry, body):
        for e in body.get("expectedRevision", []):
            item = self.items.get(e["key"])
            if (item[1] if item else 0) != e["revision"]:
                return 412, {"items": [self.row(x["key"], self.items[x["key"]])
                                       for x in body["expectedRevision"]
                                       if x["key"] in self.items]}
        for x in body.get("writes", []):
            if x.get("lease") and x["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for x in body.get("writes", []):
            self.put(x["key"], x["value"], x.get("lease", 0))
            if "control/owner" in x["key"]:
                self.record.line("store: %s writes the owner's key" % entry)
        for key in body.get("remove", []):
            self.remove(key)
            if "control/owner" in key:
                self.record.line("store: %s removes the owner's key" % entry)
        if self.on_txn:
            self.on_txn(entry, body)
        await self.notify()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, run, spec, checkpoint, now):
        self.task, self.run, self.spec, self.start = task, run, spec, now
        self.base = int(checkpoint or "0", 16) if checkpoint else 0
        self.saved, self.present, self.pace = checkpoint or "", None, 100


class Worker:
    """A worker. Its tasks take what the job of the site's clients says."""

    def __init__(self, site, name, pool, machine, rack, cpu=16000, kind="a", zone="dc0"):
        self.site, self.name, self.pool = site, name, pool
        self.machine, self.rack, self.cpu, self.kind, self.zone = machine, rack, cpu, kind, zone
        self.http = Http(self.handle)
        self.is_up, self.state, self.registered = True, "ready", True
        self.late = None  # fn(path, body) -> seconds, or None
        self.history = []
        self.birth()

    def birth(self):
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 1.0
        self.token, self.runs, self.last = 0, {}, {}
        self.ends, self.next_end, self.deadline = [], 1, 0
        self.wake = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def entry(self):
        return {"service": self.pool, "address": self.http.address, "zone": self.zone,
                "version": "v1", "capacity": 8, "state": self.state,
                "coldRemainingMs": 0, "labels": [self.kind, self.rack],
                "freeCapacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
                "sequence": 1, "born": self.born}

    async def register(self):
        await self.site.store.operator("servers/" + self.name, self.entry())

    def crash(self):
        """Ends at once; nothing of it is left."""
        self.site.record.line("worker %s crashes with %d runs" % (self.name, len(self.runs)))
        self.is_up = False
        for r in list(self.runs.values()):
            self.site.gang_lost(r)
        self.runs = {}
        self.http.set_mode("off")

    async def restart(self):
        self.birth()
        self.is_up = True
        self.http.set_mode("open")
        self.site.record.line("worker %s starts again under its id" % self.name)
        await self.register()

    def used(self):
        return sum(self.site.need(r.task) for r in self.runs.values())

    def end(self, task, how):
        r = self.runs.pop(task)
        self.last[task] = max(self.last.get(task, 0), r.run)
        saved = r.saved if how != "done" else ""
        self.ends.append([self.next_end, task, r.run, how, saved])
        self.next_end += 1
        self.site.on_end(self, r, how)
        self.wake.set()

    def tick(self):
        if not self.is_up:
            return
        if self.deadline < self.clock():
            for task in list(self.runs):
                if task in self.runs:
                    self.end(task, "lapsed")
                    self.site.gang_broken(task)
            return
        for task in list(self.runs):
            r = self.runs.get(task)
            if r:
                self.site.tick_run(self, r)

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance") != self.name:
            return 421, {"clockMs": self.clock()}
        delay = self.late(path, body) if self.late else None
        if delay:
            self.site.record.line("worker %s leaves %s %s unanswered, carries it out %.1f s later" % (
                self.name, path, body.get("task", ""), delay))
            asyncio.get_running_loop().create_task(self.apply_late(delay, path, body))
            return None
        return await self.carry(path, body)

    async def apply_late(self, delay, path, body):
        await asyncio.sleep(delay)
        if self.is_up:
            out = await self.carry(path, dict(body, waitMs=0))
            self.site.record.line("worker %s carried out late: %s %s run %s -> %s" % (
                self.name, path, body.get("task", ""), body.get("run", ""), out))

    async def carry(self, path, body):
        token = body.get("fencingToken", 0)
        if token < self.token:
            self.site.record.line("worker %s rejects %s of token %d (has %d)" % (self.name, path, token, self.token))
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        self.tick()
        self.deadline = max(self.deadline, min(
            body.get("deadlineMs", 0), self.clock() + self.site.hold_max))
        if path == "/-/hold":
            return await self.hold(body)
        task, run = body.get("task"), body.get("run", 0)
        answer = {"clockMs": self.clock()}
        if path == "/-/run-stop":
            if task in self.runs and self.runs[task].run <= run:
                self.end(task, "stopped")
                self.site.gang_broken(task)
            self.last[task] = max(self.last.get(task, 0), run)
            return 200, answer
        if path == "/-/pace":
            return 200, answer
        if path != "/-/run-start":
            return 400, answer
        if task in self.runs and self.runs[task].run == run:
            return 200, answer
        reason = None
        if run <= self.last.get(task, 0) or task in self.runs:
            reason = "old"
        elif body["deadlineMs"] <= self.clock():
            reason = "late"
        elif not self.site.ticket_ok(self, task, body.get("ticket")):
            reason = "ticket"
        elif self.used() + self.site.need(task) > self.cpu:
            reason = "room"
        if reason:
            self.site.record.line("worker %s rejects %s run %d: %s" % (self.name, task, run, reason))
            return 409, dict(answer, reason=reason)
        r = Run(task, run, body.get("spec", ""), body.get("checkpoint", ""), time.monotonic())
        self.site.on_start(self, r, body)
        self.runs[task] = r
        self.site.tick_run(self, r)
        return 200, answer

    async def hold(self, body):
        seen = body.get("lastSeen", 0)
        for e in self.ends:
            if e[0] <= seen:
                self.site.on_noted(self, e)
        self.ends = [e for e in self.ends if e[0] > seen]
        end = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < end:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), min(0.1, max(0.0, end - time.monotonic())))
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[r.task, r.run, r.saved, self.site.percent(r), 0]
                                 for r in self.runs.values()],
                     "finished": self.ends[:500]}


class Entry:
    def __init__(self, site, index):
        self.site, self.name, self.process = site, "entry-%d" % index, None
        self.front, self.ready, self.metrics, self.relay = (free_port() for _ in range(4))
        self.store = Http(site.store.handler(self.name))
        self.cloud = Http(site.cloud(self.name))

    def start(self):
        path = os.path.join(self.site.dir, self.name + ".ini")
        with open(path, "w") as f:
            f.write("[node]\nname = %s\ndata_centre = dc0\ncpu_share = %s\nmemory = %dm\n\n"
                    "[front]\nlisten = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"
                    "metrics = 127.0.0.1:%d\n\n[store]\naddress = %s\nlease_min = 1000ms\n\n"
                    "[hosts]\naddress = %s\ncalls_per_s = 64.0\n[advisor]\naddress = %s\n"
                    "[relay]\nlisten = 127.0.0.1:%d\n\n[bounds]\nholder_pause = 3000ms\n"
                    "server_lease_max = %dms\n\n[policy]\nlearned_run_times = on\n"
                    "demand_forecast = on\n" % (
                        self.name, self.site.cpu_share, self.site.memory_mb,
                        self.front, self.ready, self.metrics, self.store.address,
                        self.cloud.address, self.site.advisor.address, self.relay,
                        self.site.hold_max))
        log = open(os.path.join(self.site.dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/camphorshed", "node"], stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "CAMPHORSHED_BOOT": path})
        log.close()
        self.site.record.line("%s starts" % self.name)

    def signal(self, number):
        if self.process.poll() is None:
            self.site.record.line("%s gets signal %d" % (self.name, number))
            self.process.send_signal(number)

    async def exit(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)


class Site:
    """hold_max, grace: of the users' small deployments, ms."""

    def __init__(self, record, entries=3, pools=("pool0",), workers=4, hold_max=10000,
                 tenants=None, routes=None, cpu=16000, keep=None, memory_mb=260, cpu_share=0.25):
        self.record, self.hold_max = record, hold_max
        self.memory_mb, self.cpu_share = memory_mb, cpu_share
        self.dir = keep or tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.jobs, self.done, self.noted, self.failed = {}, {}, {}, {}
        self.tickets, self.gangs = {}, {}
        self.version, self.pools, self.starts = 1, pools, []
        self.check_twice = True
        self.advisor = Http(self.advise)
        self.workers = {}
        for p in pools:
            for n in range(workers):
                name = "i-%s-%d" % (p, n)
                self.workers[name] = Worker(self, name, p, "m-%s-%d" % (p, n),
                                            "r1-%d" % (n % 2 + 1), cpu)
        self.entries = [Entry(self, i) for i in range(entries)]
        self.routes = routes or [self.route("checks", "/checks/", pools[0])]
        self.tenants = tenants or [{"name": "errata", "apiKeys": ["errata-key"], "weight": 1,
                                    "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}]
        self.tasks = []
        self.machines_state = {}

    @staticmethod
    def route(name, prefix, service, host="desk.example", **more):
        return dict({"name": name, "host": host, "prefix": prefix, "type": "non_idempotent",
                     "timeoutMs": 3000, "targetCompletionMs": 600, "priority": 0,
                     "service": service, "maxAttempts": 3, "stretch": 2.0,
                     "public": False}, **more)

    async def configure(self):
        self.version += 3
        await self.store.operator("op/config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": p, "admissionCheck": True} for p in self.pools],
            "limits": {"maxBodyBytes": 262144}, "tenants": self.tenants})
        self.record.line("operator: configuration %d" % self.version)

    async def start(self):
        await self.advisor.start()
        await self.configure()
        for w in self.workers.values():
            await w.http.start()
            await w.register()
        for e in self.entries:
            await e.store.start()
            await e.cloud.start()
            e.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.store.expire()), loop.create_task(self.ticker())]

    async def ticker(self):
        while True:
            await asyncio.sleep(0.01)
            for w in self.workers.values():
                w.tick()

    async def stop(self):
        for t in self.tasks:
            t.cancel()
        for e in self.entries:
            if e.process and e.process.poll() is None:
                e.process.send_signal(signal.SIGCONT)
                e.process.kill()
                e.process.wait()

    def owner(self):
        text = self.store.text("camphorshed/control/owner")
        for e in self.entries:
            if text and e.name.encode() in text:
                return e
        return None

    async def wait_owner(self, other_than=None, t=10):
        end = time.monotonic() + t
        while time.monotonic() < end:
            o = self.owner()
            if o and o is not other_than:
                return o
            await asyncio.sleep(0.01)
        return None

    # Jobs

    def step_of(self, task):
        job, k, step, index = task.split(".")
        j = self.jobs.get(job)
        if not j or int(step) >= len(j["body"]["steps"]):
            return None
        return j["body"]["steps"][int(step)]

    def need(self, task):
        s = self.step_of(task)
        return 0 if not s or s.get("fills") else s.get("cpu", 0)

    def work_ms(self, task):
        s = self.step_of(task)
        return None if not s or s.get("longRunning") else s.get("workMs", s.get("estimatedMs", 200))

    def percent(self, r):
        work = self.work_ms(r.task)
        if work is None:
            return 100 if time.monotonic() - r.start > 0.5 else 0
        return max(0, min(99, int(100 * self.did(r) / max(1, work))))

    def did(self, r):
        if r.present is None:
            return r.base
        return r.base + (time.monotonic() - r.present) * 1000

    def gang_key(self, task, run):
        job, k, step, _ = task.split(".")
        return (job, k, step, run)

    def members(self, task, run):
        key = self.gang_key(task, run)
        out = []
        for w in self.workers.values():
            for r in w.runs.values():
                if self.gang_key(r.task, r.run) == key:
                    out.append((w, r))
        return out

    def tick_run(self, w, r):
        s = self.step_of(r.task)
        if not s:
            return
        if s.get("gang"):
            group = self.members(r.task, r.run)
            if r.present is None:
                if len(group) >= s["count"]:
                    for _, x in group:
                        x.present = time.monotonic()
                elif time.monotonic() - r.start > 3.0:
                    w.end(r.task, "alone")
                    return
        elif r.present is None:
            r.present = time.monotonic()
        if r.present is None:
            return
        if s.get("checkpointing"):
            n = int(self.did(r) / 500) * 500
            if n > r.base:
                r.saved = "%016x" % n
        fails = self.jobs[r.task.split(".")[0]].get("fails")
        if fails and fails(r):
            w.end(r.task, "failed")
            self.gang_broken(r.task)
            return
        work = self.work_ms(r.task)
        if work is None or self.did(r) < work:
            return
        if s.get("gang"):
            for x, m in self.members(r.task, r.run):
                x.end(m.task, "done")
        else:
            w.end(r.task, "done")

    def gang_broken(self, task):
        s = self.step_of(task)
        if not s or not s.get("gang"):
            return
        prefix = ".".join(task.split(".")[:3]) + "."
        for w in self.workers.values():
            for t in list(w.runs):
                if t.startswith(prefix) and w.runs[t].present is not None:
                    w.end(t, "broken")

    def gang_lost(self, r):
        self.gang_broken(r.task)

    # What the rules say

    def on_start(self, w, r, body):
        job, k, step, index = r.task.split(".")
        self.starts.append((now_ms(), r.task, r.run, w.name, body.get("fencingToken")))
        self.record.line("worker %s starts %s run %d (token %s, checkpoint %s)" % (
            w.name, r.task, r.run, body.get("fencingToken"), body.get("checkpoint", "")))
        j = self.jobs.get(job)
        if not j:
            self.record.breaks("UNASKED", "%s: nobody sent this job" % r.task)
            return
        if body.get("spec") != j["body"].get("spec", ""):
            self.record.breaks("UNASKED", "%s has another spec" % r.task)
        if j["answers"] and all(a in (429, 503) for a in j["answers"]):
            self.record.breaks("REFUSED", "%s starts, all attempts were rejected" % r.task)
        s = j["body"]["steps"][int(step)]
        if j.get("cancelled") and now_ms() - j["cancelled"] > 3000:
            self.record.breaks("UNASKED", "%s starts %.0f ms after its cancelling was acknowledged" % (
                r.task, now_ms() - j["cancelled"]))
        for x in self.workers.values():
            if x is not w and x.is_up and r.task in x.runs and x.runs[r.task].start and \
                    x.deadline >= x.clock():
                self.record.breaks("TWICE", "%s run %d starts on %s while run %d is on %s" % (
                    r.task, r.run, w.name, x.runs[r.task].run, x.name))
        if r.task in self.noted and not s.get("longRunning"):
            self.record.breaks("TWICE", "%s run %d starts on %s; its end done was taken note of %.0f ms before" % (
                r.task, r.run, w.name, now_ms() - self.noted[r.task]))
        for a in s.get("after", []):
            for i in range(j["body"]["steps"][a]["count"]):
                if "%s.%s.%d.%d" % (job, k, a, i) not in self.done:
                    self.record.breaks("ORDER", "%s starts before step %d is done" % (r.task, a))
                    break
        if j["body"].get("repeatCount"):
            due = j["body"]["startAtMs"] + int(k) * j["body"].get("intervalMs", 0)
            if time.time() * 1000 < due - 250:
                self.record.breaks("ORDER", "%s starts %.0f ms early" % (r.task, due - time.time() * 1000))
            if int(k) >= j["body"]["repeatCount"]:
                self.record.breaks("UNASKED", "%s: no such occurrence" % r.task)
        if int(index) >= s["count"]:
            self.record.breaks("UNASKED", "%s: no such task" % r.task)
        if s.get("antiAffinity"):
            n = sum(t.startswith("%s.%s.%s." % (job, k, step)) for t in w.runs)
            if n >= s["antiAffinity"]:
                self.record.breaks("ROUTE", "%s: beyond antiAffinity on %s" % (r.task, w.name))
        if s.get("requirements") and s["requirements"] not in (w.kind, w.rack):
            self.record.breaks("ROUTE", "%s: %s lacks the label" % (r.task, w.name))
        if w.pool not in j["pools"]:
            self.record.breaks("ROUTE", "%s on a worker of %s" % (r.task, w.pool))
        if len(self.failed.get(r.task, ())) >= j["attempts"] and not s.get("longRunning"):
            self.record.breaks("BUDGET", "%s starts after %d failed runs" % (r.task, j["attempts"]))

    def on_end(self, w, r, how):
        self.record.line("worker %s ends %s run %d: %s" % (w.name, r.task, r.run, how))
        if how == "done":
            self.done[r.task] = now_ms()
        if how == "alone":
            self.alone = getattr(self, "alone", 0) + 1
        self.gangs.setdefault(how, 0)
        self.gangs[how] += 1

    def on_noted(self, w, e):
        _, task, run, how, _ = e
        if how == "done":
            self.noted.setdefault(task, now_ms())
            s = self.step_of(task)
            if s and s.get("gang"):
                p = task.rsplit(".", 1)[0]
                for i in range(s["count"]):
                    self.noted.setdefault("%s.%d" % (p, i), now_ms())
        if how == "failed":
            self.failed.setdefault(task, set()).add(run)

    # Advisor and host list

    def is_allowed(self, step, worker):
        return True

    async def advise(self, method, path, headers, body):
        await asyncio.sleep(0.05 + 0.002 * len(body["workers"]))
        out = []
        for name in body["workers"]:
            w = self.workers.get(name)
            if w and self.is_allowed(body["step"], name):
                ticket = "t-%x" % (hash((body["step"], name, w.born)) & 0xffffffff)
                self.tickets[(body["step"], name, w.born, ticket)] = time.monotonic() + 3
                out.append([name, ticket])
        return 200, {"allowed": out, "validityMs": 3000}

    def ticket_ok(self, w, task, ticket):
        j = self.jobs.get(task.split(".")[0])
        if not j or not j.get("advice"):
            return True
        step = task.rsplit(".", 1)[0]
        return self.tickets.get((step, w.name, w.born, ticket), 0) > time.monotonic()

    def cloud(self, entry):
        async def handle(method, path, headers, body):
            if path.startswith("/-/machines"):
                return 200, {"machines": [
                    {"machine": w.machine, "pool": w.pool,
                     "state": "up" if w.is_up else "down", "zone": w.zone,
                     "labels": [w.kind, w.rack],
                     "freeCapacity": {"cpu": w.cpu, "memMb": 65536, "gpu": 0},
                     "id": w.name} for w in self.workers.values()], "nextPageToken": None}
            self.record.line("cloud: %s %s by %s token %s" % (
                path, body, headers.get("lease-holder"), headers.get("fencing-token")))
            return 409, {"reason": "busy"}
        return handle

    # Clients

    async def call(self, entry, method, prefix, job, body=None, key="errata-key", timeout=3.0,
                   host="desk.example"):
        try:
            return await asyncio.wait_for(self._call(entry, method, prefix + job, body, key, timeout, host), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return None, None

    async def _call(self, entry, method, path, body, key, timeout, host):
        r, w = await asyncio.open_connection("127.0.0.1", entry.front)
        try:
            data = json.dumps(body).encode() if body else b""
            auth = "Authorization: Bearer %s\r\n" % key if key else ""
            w.write(("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: application/json\r\n"
                     "Content-Length: %d\r\nTimeout-Ms: %d\r\n\r\n" % (
                         method, path, host, auth, len(data), timeout * 1000)).encode() + data)
            head = await r.readuntil(b"\r\n\r\n")
            n = 0
            for row in head.decode().split("\r\n"):
                a, _, b = row.partition(":")
                if a.lower() == "content-length":
                    n = int(b)
            text = await r.readexactly(n)
            return int(head.split(b" ")[1]), json.loads(text) if text else {}
        finally:
            w.close()

    def add_job(self, job, body, queue="checks", **more):
        pools = [x["service"] for x in self.routes if x["name"] == queue]
        attempts = [x["maxAttempts"] for x in self.routes if x["name"] == queue]
        advice = any(x.get("recommendation") for x in self.routes if x["name"] == queue)
        self.jobs[job] = dict({"body": body, "answers": [], "pools": set(pools), "queue": queue,
                               "attempts": attempts[0], "advice": advice,
                               "prefix": [x["prefix"] for x in self.routes if x["name"] == queue][0]}, **more)

    async def submit(self, entry, job, wire=None, **more):
        j = self.jobs[job]
        body = json.loads(json.dumps(j["body"]))
        for s in body["steps"]:
            s.pop("workMs", None)
        status, answer = await self.call(entry, "POST", j["prefix"], job, body, **more)
        self.record.line("client: POST %s at %s -> %s %s" % (job, entry.name, status, answer))
        j["answers"].append(status)
        if status and status < 300:
            j.setdefault("accepted", now_ms())
        return status

    async def state(self, entry, job):
        j = self.jobs[job]
        status, answer = await self.call(entry, "GET", j["prefix"], job)
        state = (answer or {}).get("state")
        self.record.line("client: GET %s at %s -> %s %s" % (job, entry.name, status, state))
        return status, state

    async def cancel(self, entry, job):
        j = self.jobs[job]
        status, _ = await self.call(entry, "DELETE", j["prefix"], job)
        self.record.line("client: DELETE %s at %s -> %s" % (job, entry.name, status))
        j["cancel_sent"] = True
        if status in (200, 410):
            j.setdefault("cancelled", now_ms())
        return status

    def all_done(self, job):
        body = self.jobs[job]["body"]
        return all("%s.%d.%d.%d" % (job, k, n, i) in self.done
                   for k in range(max(1, body.get("repeatCount", 0)))
                   for n, s in enumerate(body["steps"]) for i in range(s["count"]))
