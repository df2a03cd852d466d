"""Stand-ins of the users' platform for the cases review/6 to review/10.

One process holds the store, the backend servers and the host service, each on a
loopback port of its own, starts entries with the command of the deploy file, and
keeps the record of what was sent, answered and run. Without a fault that a case
injects, all of them behave as the users' PROTOCOL.md says.
"""
import base64
import contextlib
import http.client
import http.server
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {"leaseMs": 3000, "strictRevocation": False, "revokeMs": 5000}
MAX_HOLD_MS = 6000
HEARTBEAT_S = 1.5
# A loopback address of this process, so that cases can be played side by side.
ADDRESS = "127.%d.%d.%d" % (1 + os.getpid() % 200, 1 + os.getpid() // 200 % 200,
                            1 + os.getpid() // 40000 % 200)
KEY = "key-of-tenant-a"
HOST = "desk.example"
PREFIX = "/checks/"


class Record:
    """Writes record.txt, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to self.server.owner.handle(self, body)."""
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.life = self.server.owner.connection_life()

    def log_message(self, *args):
        pass

    def answer(self, status, body=None):
        data = json.dumps(body if body is not None else {}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def lose(self):
        """No answer; nothing further comes on this connection."""
        self.server.closing.wait(30)
        self.close_connection = True

    def serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(length)
        self.server.owner.handle(self, json.loads(raw) if raw else {})

    do_GET = do_POST = do_DELETE = serve


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, owner):
        super().__init__((ADDRESS, 0), Handler)
        self.owner = owner
        self.closing = threading.Event()
        threading.Thread(target=self.serve_forever, args=(0.02,),
                         daemon=True).start()

    def close(self):
        self.closing.set()
        self.shutdown()
        self.server_close()

    @property
    def name(self):
        return "%s:%d" % (ADDRESS, self.server_address[1])

    def handle_error(self, request, client_address):
        """Ignored: an entry that abandons a call resets its connection."""


class Store:
    """The metadata store: items, conditional transactions, leases, watches."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.items = {}  # key -> (value, revision, created, lease)
        self.history = []
        self.revision = 10
        self.leases = {}  # lease -> [end, ttl in seconds]
        self.next_lease = 1000
        # A function of a transaction's body: None, or the seconds after which
        # it is carried out, without an answer.
        self.late = None
        self.http = Server(self)
        threading.Thread(target=self.expire, daemon=True).start()

    def connection_life(self):
        return None

    def row(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision,
                "created": created, "lease": lease}

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, self.row(key)))

    def delete(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, {
                "key": key, "revision": self.revision, "deleted": True}))

    def write(self, key, value):
        """A write of the operator or of a backend server."""
        with self.lock:
            self.revision += 1
            self.put(key, base64.b64encode(value.encode()).decode())
            self.lock.notify_all()

    def remove(self, key):
        with self.lock:
            self.revision += 1
            self.delete(key)
            self.lock.notify_all()

    def read(self, key):
        with self.lock:
            item = self.items.get(key)
        return base64.b64decode(item[0]).decode("utf-8", "replace") if item \
            else None

    def expire(self):
        while not self.http.closing.wait(0.02):
            with self.lock:
                for lease, (end, _) in list(self.leases.items()):
                    if end < time.monotonic():
                        self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, row in self.items.items() if row[3] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)
        self.lock.notify_all()

    def handle(self, h, body):
        url = urllib.parse.urlparse(h.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-watch":
            return self.watch(h, query)
        if url.path == "/-/kv-txn":
            return self.transaction(h, body)
        with self.lock:
            status, answer = self.call(h.command, url.path, query, body)
        return h.answer(status, answer)

    def call(self, method, path, query, body):
        if path == "/-/kv-key":
            if query["key"] not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self.row(query["key"]), at=self.revision)
        if path == "/-/kv-range":
            keys = [k for k in sorted(self.items)
                    if k.startswith(query["prefix"])
                    and k > query.get("after", "")]
            return 200, {"items": [self.row(k) for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(body["ttlMs"], 1000) / 1000
            self.leases[self.next_lease] = [time.monotonic() + ttl, ttl]
            return 200, {"lease": self.next_lease, "ttlMs": int(ttl * 1000)}
        found = re.match(r"/-/kv-(keep|lease-end)/(\d+)$", path)
        if found:
            lease = self.leases.get(int(found[2]))
            if not lease:
                return 404, {}
            if found[1] == "keep":
                lease[0] = time.monotonic() + lease[1]
            else:
                self.end_lease(int(found[2]))
            return 200, {}
        return 404, {}

    def watch(self, h, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            while True:
                events = [e for r, e in self.history
                          if r > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.lock.wait(left)
            at = self.revision
        return h.answer(200, {"events": events, "at": at})

    def transaction(self, h, body):
        delay = self.late(body) if self.late else None
        if delay is None:
            status, answer = self.carry_out(body)
            return h.answer(status, answer)
        keys = ", ".join(w["key"] for w in body.get("writes", []))
        self.record.add("store: the answer to the write of %s is lost; it is "
                        "carried out in %.1f s" % (keys, delay))

        def later():
            time.sleep(delay)
            status, _ = self.carry_out(body)
            self.record.add("store: the late write of %s is carried out: %d"
                            % (keys, status))
        threading.Thread(target=later, daemon=True).start()
        return h.lose()

    def carry_out(self, body):
        expected = body.get("expectedRevision", [])
        writes, removed = body.get("writes", []), body.get("remove", [])
        with self.lock:
            for row in expected:
                item = self.items.get(row["key"])
                if (item[1] if item else 0) != row["revision"]:
                    return 412, {"items": [self.row(r["key"]) for r in expected
                                           if r["key"] in self.items]}
            if any(w.get("lease") and w["lease"] not in self.leases
                   for w in writes):
                return 404, {}
            self.revision += 1
            for w in writes:
                self.put(w["key"], w["value"], w.get("lease", 0))
            for key in removed:
                self.delete(key)
            self.lock.notify_all()
            return 200, {"revision": self.revision}


class Life:
    """One life of a backend server: what it holds is lost with it."""

    def __init__(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.running = {}  # task -> [run, end of its work, spec]
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ends = []
        self.next_end = 1
        self.deadline = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)


class Worker:
    """A backend server. The text of a task's spec is its duration in ms; 0: it
    lasts until it is stopped."""

    def __init__(self, platform, name, pool="pool0", cpu=16000, machine=None):
        self.platform, self.record = platform, platform.record
        self.name, self.pool, self.cpu = name, pool, cpu
        self.machine = machine or "m-" + name
        self.lock = threading.Condition()
        self.life = Life()
        self.registered = None
        self.http = Server(self)
        self.register()
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def connection_life(self):
        return self.life

    def register(self):
        life = self.life
        if not life:
            return
        self.registered = life
        self.platform.store.write("servers/" + self.name, json.dumps({
            "service": self.pool, "address": self.http.name, "zone": "zone-a",
            "version": "v1", "capacity": 8, "state": "ready",
            "coldRemainingMs": 0, "sequence": life.clock(),
            "labels": ["kind-a", "r1-1"], "born": life.born,
            "freeCapacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0}}))

    def beat(self):
        while not self.http.closing.wait(HEARTBEAT_S):
            if self.registered:
                self.register()

    def go_dark(self):
        """It crashes and falls silent: open connections hang, without a reset.
        """
        with self.lock:
            gone, self.life, self.registered = self.life, None, None
            lost = [[t, r[0]] for t, r in gone.running.items()]
            gone.running = {}
            self.lock.notify_all()
        self.record.add("%s: crashes, silent; it ran %s" % (self.name, lost))

    def start_again(self, register_after):
        """A new life under the same id; its first report comes a bit later."""
        with self.lock:
            self.life = Life()
        self.record.add("%s: a new life, born %d" % (self.name,
                                                     self.life.born))

        def later():
            time.sleep(register_after)
            self.register()
            self.record.add("%s: reports itself to the store, born %d" % (
                self.name, self.life.born))
        threading.Thread(target=later, daemon=True).start()

    def work(self):
        while not self.http.closing.wait(0.01):
            with self.lock:
                life = self.life
                if not life:
                    continue
                now = time.monotonic()
                for task, row in list(life.running.items()):
                    if now >= row[1]:
                        self.end(life, task, "done")
                if life.running and life.clock() >= life.deadline:
                    for task in list(life.running):
                        self.end(life, task, "lapsed")

    def end(self, life, task, how):
        run = life.running.pop(task)[0]
        life.highest[task] = max(run, life.highest.get(task, 0))
        life.ends.append([life.next_end, task, run, how, ""])
        life.next_end += 1
        self.record.add("%s: run %d of %s ended: %s" % (self.name, run, task,
                                                        how))
        self.platform.note_end(self, task, run, how)
        self.lock.notify_all()

    def handle(self, h, body):
        # A connection of a former life, or one that came while it was silent.
        if h.life is None or h.life is not self.life:
            return h.lose()
        if h.headers.get("Expected-Instance", self.name) != self.name:
            return h.answer(421, {})
        with self.lock:
            life = self.life
            if h.life is not life:
                return h.lose()
            status, answer = self.order(life, h.path, body)
        if h.path == "/-/hold" and status == 200:
            answer = self.hold(life, body)
            if life is not self.life:
                return h.lose()
        return h.answer(status, answer)

    def order(self, life, path, body):
        def refuse(reason):
            return 409, {"clockMs": life.clock(), "reason": reason}

        token = body.get("fencingToken", 0)
        if token < life.token:
            return refuse("fence")
        life.token = token
        task, run = body.get("task"), body.get("run", 0)
        if path == "/-/run-start":
            return self.start(life, task, run, body, refuse)
        if path == "/-/run-stop":
            if task in life.running and life.running[task][0] <= run:
                self.end(life, task, "stopped")
            life.highest[task] = max(run, life.highest.get(task, 0))
            self.record.add("%s: told to stop run %d of %s" % (self.name, run,
                                                               task))
            return 200, {"clockMs": life.clock()}
        if path == "/-/hold":
            self.extend(life, body)
            seen = body.get("lastSeen", 0)
            for e in life.ends:
                if e[0] <= seen:
                    self.platform.note_seen(self, e)
            life.ends = [e for e in life.ends if e[0] > seen]
            return 200, {}
        return (200 if path == "/-/pace" else 404), {"clockMs": life.clock()}

    @staticmethod
    def extend(life, body):
        wanted = min(body.get("deadlineMs", 0), life.clock() + MAX_HOLD_MS)
        life.deadline = max(life.deadline, wanted)

    def start(self, life, task, run, body, refuse):
        if task in life.running and life.running[task][0] == run:
            return 200, {"clockMs": life.clock()}
        if task in life.running or run <= life.highest.get(task, 0):
            return refuse("old")
        if body.get("deadlineMs", 0) <= life.clock():
            return refuse("late")
        cpu = self.platform.task_cpu
        if (len(life.running) + 1) * cpu > self.cpu:
            return refuse("room")
        self.extend(life, body)
        ms = int(body["spec"]) or 10 ** 9  # 0: it lasts
        life.running[task] = [run, time.monotonic() + ms / 1000, body["spec"]]
        self.record.add("%s: starts run %d of %s (life born %d)" % (
            self.name, run, task, life.born))
        self.platform.note_start(self, task, run)
        return 200, {"clockMs": life.clock()}

    def hold(self, life, body):
        end = time.monotonic() + body.get("waitMs", 0) / 1000
        with self.lock:
            while not life.ends and life is self.life:
                left = end - time.monotonic()
                if left <= 0:
                    break
                self.lock.wait(left)
            return {"clockMs": life.clock(), "born": life.born,
                    "running": [[t, r[0], "", 100, 0]
                                for t, r in life.running.items()],
                    "finished": life.ends[:500]}


class Cloud:
    """The host service. No pool needs a host here, so it moves none."""

    def __init__(self, platform):
        self.platform = platform
        self.http = Server(self)

    def connection_life(self):
        return None

    def handle(self, h, body):
        if h.path.startswith("/-/machines"):
            return h.answer(200, {"machines": [
                {"machine": w.machine, "pool": w.pool, "state": "up",
                 "zone": "zone-a", "labels": ["kind-a", "r1-1"],
                 "freeCapacity": {"cpu": w.cpu, "memMb": 32768, "gpu": 0},
                 "id": w.name}
                for w in list(self.platform.workers.values()) if w.life]})
        return h.answer(409, {"reason": "busy"})


class Advisor:
    """The service that knows which workers may run a step of a queue."""
    DECISION_S = 0.02

    def __init__(self, platform, allows, validity_ms):
        self.platform, self.record = platform, platform.record
        self.allows, self.validity_ms = allows, validity_ms
        self.lock = threading.Lock()
        self.http = Server(self)

    def connection_life(self):
        return None

    def handle(self, h, body):
        with self.lock:  # one call at a time
            time.sleep(self.DECISION_S)
            rows = [[name, "ticket-%s-%s" % (body["step"], name)]
                    for name in body["workers"] if self.allows(name)]
        self.record.add("advisor: asked for %s on %s; allowed %s" % (
            body["step"], ", ".join(body["workers"]), [r[0] for r in rows]))
        return h.answer(200, {"allowed": rows,
                              "validityMs": self.validity_ms})


class Entry:
    """An entry: `target/camphorshed node`, as deploy/system.toml says."""

    def __init__(self, platform, name):
        self.platform, self.name = platform, name
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as f:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', f.read(),
                                   flags=re.M))
        self.command = role["run"].split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        ports = free_ports(4)
        self.front, self.readiness = ports[0], ports[1]
        self.settings = os.path.join(platform.folder, name + ".ini")
        fields = {
            "nodeName": name, "role": "entry", "machineClass": "edge",
            "ip": ADDRESS, "zone": "zone-a", "region": "region-a",
            "listenAddresses": {
                "front": "%s:%d" % (ADDRESS, ports[0]),
                "readiness": "%s:%d" % (ADDRESS, ports[1])},
            "internalPortRange": [ports[2], ports[3]],
            "limits": {"cpuShare": 0.25}, "bounds": BOUNDS,
            "platform": {"address": platform.store.http.name,
                         "minTtlMs": 1000},
            "cloud": {"address": platform.cloud.http.name, "dutyPerS": 64.0}}
        if platform.advisor:
            fields["recommendation"] = platform.advisor.http.name
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.process = None
        self.start()

    def start(self):
        log = open(os.path.join(self.platform.folder, self.name + ".log"),
                   "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "CAMPHORSHED_BOOT": self.settings})
        log.close()
        self.platform.record.add("%s: started" % self.name)

    def send(self, number):
        self.platform.record.add("%s: %s" % (self.name,
                                             signal.Signals(number).name))
        self.process.send_signal(number)

    def is_ready(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            c = http.client.HTTPConnection(ADDRESS, self.readiness,
                                           timeout=1)
            c.request("GET", "/-/readiness")
            return c.getresponse().status == 200
        return False

    def call(self, method, path, body=None, key=KEY, timeout=3.0, host=HOST):
        """Returns (status, body); status 0: no answer."""
        headers = {"Host": host, "Timeout-Ms": str(int(timeout * 1000)),
                   "Content-Type": "application/json"}
        if key:
            headers["Authorization"] = "Bearer " + key
        status, answer = 0, b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            c = http.client.HTTPConnection(ADDRESS, self.front,
                                           timeout=timeout)
            c.request(method, path,
                      json.dumps(body) if body is not None else None, headers)
            response = c.getresponse()
            answer = response.read()
            status = response.status
            c.close()
        self.platform.record.add("client: %s %s at %s -> %s %s" % (
            method, path, self.name, status or "no answer", answer.decode()))
        return status, json.loads(answer) if answer else {}


def free_ports(n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind((ADDRESS, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def render(text, fields):
    """The part of the users' template language that the project uses."""
    def find(name, entry):
        if name == ".":
            return entry
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def section(found):
        value = find(found[1], None)
        return fill(found[2], value) if value else ""

    def fill(part, entry):
        def one(found):
            value = find(found[1], entry)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)\}\}", one, part)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text,
                  flags=re.S)
    return fill(text, None)


class Platform:
    """All stand-ins of one case, and the checks of TWICE on their record."""

    def __init__(self, folder, entries=2, task_cpu=1000, routes=None,
                 tenants=None, advice=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.task_cpu = task_cpu
        self.lock = threading.RLock()
        self.starts = []  # (time, worker, task, run)
        self.ends = []  # (time, worker, task, run, how)
        self.seen = []  # (worker, end)
        self.active = {}  # task -> {worker: run}, on servers that are up
        self.twice = []
        self.workers = {}
        self.store = Store(self.record)
        self.cloud = Cloud(self)
        self.advisor = Advisor(self, *advice) if advice else None
        self.version = 1
        self.configure(routes, tenants)
        self.entries = [Entry(self, "entry-%d" % (i + 1))
                        for i in range(entries)]

    def configure(self, routes=None, tenants=None):
        self.version += 3
        self.routes = routes or [
            {"name": "checks", "host": HOST, "prefix": PREFIX,
             "service": "pool0", "timeoutMs": 3000, "maxAttempts": 3,
             "stretch": 2.0, "targetCompletionMs": 1000}]
        self.tenants = tenants or [
            {"name": "tenant-a", "apiKeys": [KEY], "weight": 1,
             "maximum": {"cpu": 64000, "memMb": 0, "gpu": 0}}]
        self.store.write("op/config", json.dumps({
            "version": self.version, "routes": self.routes,
            "services": [{"name": "pool0", "admissionCheck": True}],
            "limits": {"maxBodyBytes": 65536}, "tenants": self.tenants}))

    def add_worker(self, name, **options):
        self.workers[name] = Worker(self, name, **options)
        return self.workers[name]

    def note_start(self, worker, task, run):
        with self.lock:
            self.starts.append((self.record.now(), worker.name, task, run))
            others = {w: r for w, r in self.active.get(task, {}).items()
                      if w != worker.name and self.workers[w].life
                      and task in self.workers[w].life.running}
            if others:
                self.twice.append((task, run, worker.name, others))
                self.record.add("TWICE: run %d of %s starts on %s while %s "
                                "is under way" % (run, task, worker.name,
                                                  others))
            self.active.setdefault(task, {})[worker.name] = run

    def note_end(self, worker, task, run, how):
        with self.lock:
            self.ends.append((self.record.now(), worker.name, task, run, how))
            self.active.get(task, {}).pop(worker.name, None)

    def note_seen(self, worker, end):
        with self.lock:
            self.seen.append((worker.name, end))

    def owner(self):
        """The entry that the key of the owner in the store names."""
        text = self.store.read("camphorshed/control/owner")
        for e in self.entries:
            if text and text.split(" ")[0] == e.name:
                return e
        return None

    def wait(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.02)
        self.record.add("not reached in %d s: %s" % (seconds, what))
        return False

    def wait_ready(self):
        if not self.wait(lambda: all(e.is_ready() for e in self.entries) and
                         self.owner(), 20, "all entries are ready"):
            raise RuntimeError("the entries do not become ready")
        time.sleep(1.0)

    def close(self):
        for e in self.entries:
            if e.process.poll() is None:
                with contextlib.suppress(OSError):
                    e.process.send_signal(signal.SIGCONT)
                e.process.kill()
            e.process.wait()
        for s in [self.store, self.cloud, self.advisor] + list(
                self.workers.values()):
            if s:
                s.http.close()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.folder, os.environ["KEEP_LOGS"]],
                           check=False)
        self.temporary.cleanup()


def job(ms, tasks=1, cpu=1000, **fields):
    return dict({"spec": str(ms), "steps": [
        {"count": tasks, "cpu": cpu, "memMb": 64, "estimatedMs": ms}]},
        **fields)


def run_case(folder, case, **options):
    """Runs case(platform, trouble); returns the exit code of run.sh."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    platform = Platform(folder, **options)
    try:
        broken = case(platform, trouble)
    except Exception as e:  # the case could not run
        platform.record.add("the case could not run: %r" % e)
        print("could not run: %r" % e)
        return 2
    finally:
        platform.close()
    text = "; ".join(broken) if broken else "the rule held"
    print(("BROKEN: " if broken else "held: ") + text)
    return 1 if broken else 0
