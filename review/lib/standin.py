"""Stand-ins of the platform for the cases of this review.

Store, host service, workers and clients of the users' pages (PROTOCOL.md,
DEPLOY.md), as threads of the test's process, on loopback and the real clock.
The entries of camphorshed are separate processes, started with the command and
the settings template of deploy/system.toml.

A disruption is a switch of a stand-in: see Store.mode, Store.cut, HostService
and Worker. Everything that is sent, answered and run is written to record.txt.
"""
import base64
import heapq
import http.client
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
START = time.monotonic()

# The bounds of the small site desg-cywiro (SYSTEM.md).
MAX_HOLD_MS = 10000
STOP_GRACE_MS = 900
FINISH_S = 14
LIST_MAX = 500  # ends in one answer to a hold
PAGE_ITEMS, PAGE_BYTES = 500, 1000000  # one answer with a list of the store


def now_s():
    return time.monotonic() - START


class Record:
    """record.txt: one line for each event."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (now_s(), text))
            self.file.flush()


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignored: an entry that gives a call up resets its connection."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def reply(self, status, body=None):
        data = json.dumps(body if body is not None else {}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def end_silently(self):
        """No answer to this call, nor to any later one on the connection."""
        self.close_connection = True
        time.sleep(3)

    def read_body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def handle_any(self):
        body = self.read_body() if self.command == "POST" else {}
        url = urllib.parse.urlparse(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.server.owner.serve(self, url.path, query, body)

    do_GET = do_POST = do_DELETE = handle_any


def listen(owner):
    """Serves owner.serve() on a free port of loopback; returns the address."""
    server = HttpServer(("127.0.0.1", 0), Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]


# Each test process has a loopback address of its own for its entries, so that
# cases that run at the same time do not take each other's ports.
ENTRY_IP = "127.%d.%d.%d" % (os.getpid() // 64516 % 250 + 1,
                             os.getpid() // 254 % 254, os.getpid() % 254 + 1)
USED_PORTS = set()


def free_ports(n):
    """Free ports below those that the kernel gives to outgoing connections."""
    ports = []
    while len(ports) < n:
        port = random.randrange(20000, 32000)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with socket.socket() as s:
            try:
                s.bind((ENTRY_IP, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class StoreDoor:
    """The store as one machine reaches it."""

    def __init__(self, store, name):
        self.store, self.name = store, name
        self.is_cut = False
        self.address = listen(self)

    def serve(self, handler, path, query, body):
        self.store.serve(self, handler, path, query, body)


class Store:
    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.items = {}  # key -> (value, revision, created, lease)
        self.history = []
        self.revision = 1
        self.leases = {}  # id -> [ends, ttl]
        self.next_lease = 1000
        self.mode = "up"  # "busy": 503 to all
        self.renewed_by = None  # the machine that renewed a lease last
        threading.Thread(target=self.expire, daemon=True).start()

    def door(self, name):
        return StoreDoor(self, name)

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((key, value, self.revision, created, lease))

    def delete(self, key):
        if self.items.pop(key, None):
            self.history.append((key, None, self.revision, 0, 0))

    def operator_put(self, key, value):
        """A write of the operator or of a worker; acknowledged on return."""
        with self.lock:
            self.revision += 1
            self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
            self.lock.notify_all()
        self.record.add("store: %s = %s" % (key, json.dumps(value)))

    def operator_delete(self, key):
        with self.lock:
            self.revision += 1
            self.delete(key)
            self.lock.notify_all()
        self.record.add("store: %s removed" % key)

    def expire(self):
        """Leases pause while the store is down."""
        last = time.monotonic()
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.lock:
                for lease, row in list(self.leases.items()):
                    if self.mode != "up":
                        row[0] += now - last
                    elif row[0] < now:
                        self.end_lease(lease)
            last = now

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, row in list(self.items.items()):
            if row[3] == lease:
                self.revision += 1
                self.delete(key)
        self.lock.notify_all()

    @staticmethod
    def row(key, item):
        return {"key": key, "value": item[0], "revision": item[1],
                "created": item[2], "lease": item[3]}

    def serve(self, door, handler, path, query, body):
        if door.is_cut:
            return handler.end_silently()
        if self.mode == "busy":
            return handler.reply(503)
        if path == "/-/kv-watch":
            status, answer = self.watch(door, query)
        else:
            with self.lock:
                status, answer = self.call(door, handler.command, path, query,
                                           body)
        if door.is_cut or status is None:
            return handler.end_silently()
        return handler.reply(status, answer)

    def call(self, door, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {}
            return 200, dict(self.row(query["key"], item), at=self.revision)
        if path == "/-/kv-range":
            keys = [k for k in sorted(self.items)
                    if k.startswith(query["prefix"])
                    and k > query.get("after", "")]
            rows, size = [], 0
            while len(rows) < min(len(keys), PAGE_ITEMS) and size < PAGE_BYTES:
                rows.append(self.row(keys[len(rows)],
                                     self.items[keys[len(rows)]]))
                size += len(rows[-1]["value"])
            return 200, {"items": rows, "hasMore": len(rows) < len(keys),
                         "at": self.revision}
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(body["ttlMs"], 1000)
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            row = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not row:
                return 404, {}
            row[0] = time.monotonic() + row[1] / 1000
            self.renewed_by = door.name
            return 200, {"ttlMs": row[1]}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/-/kv-txn":
            return self.txn(body)
        return 404, {}

    def txn(self, body):
        expected = body.get("expectedRevision", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"items": [
                    self.row(r["key"], self.items[r["key"]])
                    for r in expected if r["key"] in self.items]}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("writes", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        self.lock.notify_all()
        return 200, {"revision": self.revision}

    def watch(self, door, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self.lock:
            while True:
                if self.mode == "busy":
                    return 503, {}
                events = [
                    {"key": k, "revision": rev, "deleted": True}
                    if value is None else
                    {"key": k, "value": value, "revision": rev,
                     "created": created, "lease": lease}
                    for k, value, rev, created, lease in self.history
                    if rev > after and k.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0 or door.is_cut:
                    return 200, {"events": events, "at": self.revision}
                self.lock.wait(min(left, 0.1))


class Worker:
    """A backend server of the pages.

    The payload of a job tells its tasks' work, as words KEY=VALUE:
    ms: the work of a task; ms.I: of the task with index I; fail: that many of
    a task's first runs end failed; save: length of its checkpoints.
    """

    def __init__(self, site, name, service, cpu=32000, memory_mb=65536,
                 labels=("a", "r1-1"), zone="zone-a", machine=None):
        self.site, self.name, self.service = site, name, service
        self.cpu, self.memory_mb = cpu, memory_mb
        self.labels, self.zone = list(labels), zone
        self.machine = machine or "m-" + name
        self.lock = threading.Condition()
        self.address = listen(self)
        self.lapses = []  # when its lease lapsed, also with nothing running
        self.is_lapsed = True
        self.is_silent_to = None  # function of a call's fencing token
        self.is_off = False
        self.begin_life()
        threading.Thread(target=self.work, daemon=True).start()

    def begin_life(self):
        """A new incarnation: it runs nothing and knows nothing of before."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.clock_start = time.monotonic()
            self.fencing_token = 0
            self.runs = {}  # task -> dict
            self.highest_ended = {}  # task -> run
            self.ends = []
            self.next_end = 1
            self.deadline = 0
            self.queue = []

    def crash(self):
        """All that runs here is gone; nothing is sent."""
        with self.lock:
            lost = list(self.runs)
            self.is_off = True
            self.runs.clear()
            for task in lost:
                self.site.note_gone(task, self.name)
            self.lock.notify_all()
        self.site.record.add("worker %s: crashed, with %d tasks" % (
            self.name, len(lost)))

    def restart(self):
        self.begin_life()
        self.is_off = False
        self.register()

    def register(self):
        self.site.store.operator_put("servers/" + self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "capacity": 8,
            "state": "ready", "coldRemainingMs": 0,
            "freeCapacity": {"cpu": self.cpu, "memMb": self.memory_mb,
                             "gpu": 0},
            "labels": self.labels, "clockMs": self.clock_ms(),
            "sequence": 1, "born": self.born})

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 1000

    def free(self):
        return (self.cpu - sum(r["cpu"] for r in self.runs.values()),
                self.memory_mb - sum(r["mem"] for r in self.runs.values()))

    def work(self):
        """Ends tasks when their work is done, or when the lease lapses."""
        while True:
            with self.lock:
                now = self.clock_ms()
                while self.queue and self.queue[0][0] <= now:
                    _, task, run = heapq.heappop(self.queue)
                    r = self.runs.get(task)
                    if r and r["run"] == run:
                        self.finish(task, r["how"])
                if self.deadline < now:
                    for task in list(self.runs):
                        self.finish(task, "lapsed")
                    if not self.is_lapsed:
                        self.lapses.append(now_s())
                self.is_lapsed = self.deadline < now
                wait = 0.02
                if self.queue:
                    wait = min(wait, max(self.queue[0][0] - now, 1) / 1000)
                self.lock.wait(wait)

    def saved(self, r):
        """The newest checkpoint: one for each 2 s of work."""
        n = int((self.clock_ms() - r["at"]) / 2000)
        if not r["save"] or not n:
            return ""
        return ("%08x" % n).ljust(r["save"], "c")

    def finish(self, task, how):
        r = self.runs.pop(task)
        saved = "" if how == "done" else self.saved(r)
        self.highest_ended[task] = max(r["run"],
                                       self.highest_ended.get(task, 0))
        self.ends.append([self.next_end, task, r["run"], how, saved])
        self.next_end += 1
        self.site.note_end(task, r["run"], how, self.name)
        self.lock.notify_all()

    def serve(self, handler, path, query, body):
        token = body.get("fencingToken", 0)
        silent = self.is_silent_to
        if self.is_off or (silent and silent(token)):
            return handler.end_silently()
        expected = handler.headers.get("Expected-Instance")
        if expected and expected != self.name:
            return handler.reply(421)
        with self.lock:
            if self.is_off:
                return handler.end_silently()
            if token < self.fencing_token:
                return handler.reply(409, {"clockMs": self.clock_ms(),
                                           "reason": "fence"})
            self.fencing_token = token
            asked = min(body.get("deadlineMs", 0),
                        self.clock_ms() + MAX_HOLD_MS)
            self.deadline = max(self.deadline, asked)
            if path == "/-/run-start":
                answer = self.start(body)
            elif path == "/-/run-stop":
                answer = self.stop(body)
            elif path == "/-/hold":
                answer = self.hold(body)
            elif path == "/-/pace":
                answer = 200, {"clockMs": self.clock_ms()}
            else:
                answer = 404, {}
        silent = self.is_silent_to
        if self.is_off or (silent and silent(token)):
            return handler.end_silently()
        return handler.reply(*answer)

    def start(self, body):
        task, run = body["task"], body["run"]
        at = {"clockMs": self.clock_ms()}
        r = self.runs.get(task)
        if r and r["run"] == run:
            return 200, at
        if r or run <= self.highest_ended.get(task, 0):
            return 409, dict(at, reason="old")
        if body["deadlineMs"] <= self.clock_ms():
            return 409, dict(at, reason="late")
        need = self.site.need_of(task)
        free = self.free()
        if need["cpu"] > free[0] or need["memMb"] > free[1]:
            return 409, dict(at, reason="room")
        words = dict(w.split("=", 1) for w in body["spec"].split() if "=" in w)
        index = task.rsplit(".", 1)[1]
        ms = int(words.get("ms." + index, words.get("ms", "500")))
        r = {"run": run, "at": self.clock_ms(), "cpu": need["cpu"],
             "mem": need["memMb"], "save": int(words.get("save", "0")),
             "how": "done"}
        if self.site.count_failed(task) < int(words.get("fail", "0")):
            r["how"] = "failed"
        self.runs[task] = r
        heapq.heappush(self.queue, (self.clock_ms() + ms, task, run))
        self.site.note_start(task, run, self, body)
        self.lock.notify_all()
        return 200, at

    def stop(self, body):
        task, run = body["task"], body["run"]
        r = self.runs.get(task)
        if r and r["run"] <= run:
            self.finish(task, "stopped")
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        return 200, {"clockMs": self.clock_ms()}

    def hold(self, body):
        for end in self.ends:
            if end[0] <= body.get("lastSeen", 0):
                self.site.note_seen(end[1], end[2], end[3], self.name)
        self.ends = [e for e in self.ends if e[0] > body.get("lastSeen", 0)]
        end = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < end and not self.is_off:
            self.lock.wait(max(end - time.monotonic(), 0.001))
        return 200, {"clockMs": self.clock_ms(), "born": self.born,
                     "running": [[t, r["run"], self.saved(r), 100, r["cpu"]]
                                 for t, r in self.runs.items()],
                     "finished": self.ends[:LIST_MAX]}


class HostService:
    """The list of machines, and their moves, which take migrationS."""

    def __init__(self, site):
        self.site = site
        self.is_silent = False
        self.moves = 0
        self.address = listen(self)

    def serve(self, handler, path, query, body):
        if self.is_silent:
            if path != "/-/machines":
                self.site.record.add("host service: no answer to %s %s" % (
                    path, json.dumps(body)))
            return handler.end_silently()
        workers = self.site.workers.values()
        if path == "/-/machines":
            return handler.reply(200, {"machines": [
                {"machine": w.machine, "pool": w.service,
                 "state": "down" if w.is_off else "up", "zone": w.zone,
                 "labels": w.labels, "id": w.name,
                 "freeCapacity": {"cpu": w.cpu, "memMb": w.memory_mb,
                                  "gpu": 0}}
                for w in workers]})
        if path == "/-/machine-move":
            return self.site.move(handler, body)
        return handler.reply(409, {"reason": "busy"})


class Entry:
    """A process of camphorshed."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.door = site.store.door(name)
        ports = free_ports(5)
        addresses = ["%s:%d" % (ENTRY_IP, port) for port in ports]
        self.front = addresses[0]
        self.values = {
            "nodeName": name, "zone": zone, "ip": ENTRY_IP,
            "limits": {"cpuShare": 0.25},
            "listenAddresses": {"front": self.front,
                                "readiness": addresses[1],
                                "control": addresses[2]},
            "internalPortRange": ports[3:],
            "platform": {"address": self.door.address, "minTtlMs": 1000},
            "cloud": {"address": site.hosts.address, "dutyPerS": 64.0},
            "recommendation": None,
            "bounds": {"leaseMs": 3000, "strictRevocation": False,
                       "revokeMs": 5000},
        }
        self.process = None

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".ini")
        with open(os.path.join(ROOT, "platform/node.ini.in"),
                  encoding="utf-8") as f:
            text = render(f.read(), self.values)
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/camphorshed", "node"], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder,
                 "LANG": "C", "CAMPHORSHED_BOOT": path})
        log.close()
        self.site.record.add("entry %s: started" % self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.site.record.add("entry %s: killed" % self.name)

    def kill_and_restart(self):
        """The platform restarts a killed process after a short delay."""
        self.kill()
        time.sleep(0.5)
        self.start()

    def is_ready(self):
        try:
            return call(self.values["listenAddresses"]["readiness"], "GET",
                        "/-/readiness", timeout=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


def render(text, values):
    """Fills a template of DEPLOY.md in: values, and sections of a value."""
    def find(name, scope):
        value = scope
        if name == ".":
            return scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match.group(1), values)
        if not value:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(find(m.group(1), values)), text)


def call(address, method, path, body=None, headers=None, timeout=3.0):
    host, port = address.split(":")
    c = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if body is not None else None
        c.request(method, path, data, headers or {})
        r = c.getresponse()
        return r.status, r.read().decode()
    finally:
        c.close()


class Site:
    def __init__(self, case):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="camphorshed-review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.store = Store(self.record)
        self.lock = threading.RLock()
        self.workers, self.entries = {}, []
        self.lives = {}  # all workers that there ever were
        self.jobs = {}  # id -> body
        self.starts = []  # (time, task, run, worker, body)
        self.history = {}  # task -> list of (time, what, run, worker)
        self.running = {}  # task -> {worker: run}
        self.hosts = HostService(self)
        self.version = 0
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.breaks = []

    # What the workers report.

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        if job not in self.jobs:
            return {"cpu": 0, "memMb": 0}
        row = self.jobs[job]["steps"][int(step)]
        return {"cpu": row.get("cpu", 0), "memMb": row.get("memMb", 0)}

    def note(self, task, what, run, worker):
        with self.lock:
            self.history.setdefault(task, []).append(
                (now_s(), what, run, worker))
        self.record.add("worker %s: %s run %d %s" % (worker, task, run, what))

    def note_start(self, task, run, worker, body):
        with self.lock:
            self.starts.append((now_s(), task, run, worker.name, body))
            others = dict(self.running.get(task, {}))
            self.running.setdefault(task, {})[worker.name] = run
        self.note(task, "started", run, worker.name)
        for other in others:
            if other != worker.name:
                self.record.add("NOTE two runs of %s at the same time: on %s "
                                "and on %s" % (task, other, worker.name))

    def note_end(self, task, run, how, worker):
        with self.lock:
            self.running.get(task, {}).pop(worker, None)
        self.note(task, "ended " + how, run, worker)

    def note_gone(self, task, worker):
        with self.lock:
            run = self.running.get(task, {}).pop(worker, 0)
        self.note(task, "gone", run, worker)

    def note_seen(self, task, run, how, worker):
        self.note(task, "end %s taken note of" % how, run, worker)

    def count_failed(self, task):
        with self.lock:
            return sum(1 for row in self.history.get(task, [])
                       if row[1] == "ended failed")

    # Machines.

    def add_worker(self, name, service, **options):
        w = Worker(self, name, service, **options)
        self.workers[name] = self.lives[name] = w
        w.register()
        return w

    def move(self, handler, body):
        for w in list(self.workers.values()):
            if w.machine == body["machine"]:
                break
        else:
            return handler.reply(400)
        if w.service == body["pool"]:
            return handler.reply(200)
        if w.is_off:
            return handler.reply(409, {"reason": "busy"})
        self.hosts.moves += 1
        self.record.add("host service: %s moves from %s to %s" % (
            w.machine, w.service, body["pool"]))
        w.crash()
        del self.workers[w.name]
        self.store.operator_delete("servers/" + w.name)

        def arrive():
            time.sleep(1.5)
            self.add_worker("%s-%d" % (w.machine, self.hosts.moves),
                            body["pool"], cpu=w.cpu, memory_mb=w.memory_mb,
                            labels=w.labels, zone=w.zone, machine=w.machine)
        threading.Thread(target=arrive, daemon=True).start()
        return handler.reply(200)

    def add_entries(self, zones):
        for i, zone in enumerate(zones):
            self.entries.append(Entry(self, "edge-%s-%d" % (zone, i + 1),
                                      zone))
        for e in self.entries:
            e.start()

    def wait_until_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            if len(self.alive()) < len(self.entries):
                raise CannotRun("an entry has ended")
            if all(e.is_ready() for e in self.entries) and \
                    self.store.renewed_by:
                return
            time.sleep(0.05)
        raise CannotRun("the entries are not ready")

    def leader(self):
        """The entry that renewed a lease at the store last."""
        for e in self.entries:
            if e.name == self.store.renewed_by:
                return e
        raise CannotRun("no leader")

    # The operator.

    def configure(self, routes, services, tenants):
        self.version += 3
        self.store.operator_put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxBodyBytes": 65536}, "tenants": tenants})

    # Clients.

    def request(self, entry, method, path, host, key, body=None):
        headers = {"Host": host, "Timeout-Ms": "3000",
                   "Authorization": "Bearer " + key}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            status, text = call(entry.front, method, path, body, headers)
        except (OSError, http.client.HTTPException) as e:
            status, text = 0, type(e).__name__
        self.record.add("client: %s %s %s at %s: %d %s" % (
            method, host, path, entry.name, status, text))
        return status, text

    def alive(self):
        return [e for e in self.entries if e.process.poll() is None]

    def submit(self, path, job, body, host="desk.example", key="key-1"):
        """Hands a job in, at one entry after the other, until it is accepted."""
        self.jobs[job] = body
        for attempt in range(20):
            entries = self.alive()
            status, _ = self.request(entries[attempt % len(entries)], "POST",
                                     path + job, host, key, body)
            if 200 <= status < 300:
                return
            time.sleep(0.3)
        raise CannotRun("the job was not accepted")

    def state(self, path, job, host="desk.example", key="key-1"):
        """The state that the first entry that answers shows; else None."""
        for e in self.alive():
            status, text = self.request(e, "GET", path + job, host, key)
            if status == 200:
                return json.loads(text).get("state")
            if status == 410:
                return "unknown"
        return None

    def wait_for(self, path, job, wanted, seconds, **options):
        end = time.monotonic() + seconds
        while True:
            state = self.state(path, job, **options)
            if state in wanted or time.monotonic() > end:
                return state
            time.sleep(0.5)

    # The verdict.

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record.add("BROKEN %s: %s" % (rule, text))

    def finish(self):
        for e in self.entries:
            if e.process and e.process.poll() is None:
                e.process.kill()
                e.process.wait()
        for e in self.entries:
            path = os.path.join(self.folder, e.name + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as f:
                    for line in f:
                        if "event=request " not in line:
                            self.record.file.write("log %s: %s" % (
                                e.name, line))
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up; this says nothing of the rule."""


def check_twice(site):
    """TWICE: runs of a task at the same time, or a start after it was done.

    An end counts if it is taken note of at any time, unless the lease of its
    worker lapsed between the two.
    """
    for task, rows in sorted(site.history.items()):
        running, done, ended = {}, {}, {}
        seen = set()
        for at, what, run, worker in rows:
            if what == "ended done":
                ended[(run, worker)] = at
            elif what == "end done taken note of" and not any(
                    ended[(run, worker)] < t < at
                    for t in site.lives[worker].lapses):
                seen.add((run, worker))
        for at, what, run, worker in rows:
            if what == "started":
                for other in running:
                    if other != worker:
                        site.broken("TWICE", "%s: run %d starts on %s at %.2f "
                                    "while run %d runs on %s" % (
                                        task, run, worker, at,
                                        running[other], other))
                for d in done:
                    if d in seen:
                        site.broken("TWICE", "%s: run %d starts on %s at %.2f "
                                    "though run %d ended done at %.2f and "
                                    "that was taken note of" % (
                                        task, run, worker, at, d[0], done[d]))
                running[worker] = run
            elif what == "ended done":
                running.pop(worker, None)
                done[(run, worker)] = at
            elif what.startswith("ended") or what == "gone":
                running.pop(worker, None)


def main(run, case):
    """Runs a case; exits with 1 if it broke a rule, 0 if not, 2 if it failed."""
    if not os.access(os.path.join(ROOT, "target/camphorshed"), os.X_OK):
        print("target/camphorshed is not built")
        sys.exit(2)
    site = Site(os.path.dirname(os.path.abspath(case)))
    code = 2
    try:
        run(site)
        code = 1 if site.breaks else 0
    except CannotRun as e:
        site.record.add("CANNOT RUN: %s" % e)
        print("cannot run: %s" % e)
    finally:
        site.finish()
    for rule, text in site.breaks[:5]:
        print("%s: %s" % (rule, text))
    print("%d break(s) of a rule, TROUBLE=%d, exit %d" % (
        len(site.breaks), site.is_troubled, code))
    sys.stdout.flush()
    os._exit(code)
