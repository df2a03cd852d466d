"""A small stand-in of a shared platform: store, backend servers and hosts.

One process on loopback. Prints its addresses as one JSON line. Used by
test_node.sh to run real entries; the seeded driver in tests/world covers the
faults that need virtual time.
"""
import base64
import http.server
import json
import sys
import threading
import time
import urllib.parse

START = time.monotonic()


def clock_ms():
    return int((time.monotonic() - START) * 1000) + 1000


class Store:
    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}  # key -> (value, revision, created, lease)
        self.log = []
        self.revision = 1
        self.leases = {}
        self.is_down = False

    def put(self, key, value, revision, lease=0):
        created = self.items[key][2] if key in self.items else revision
        self.items[key] = (value, revision, created, lease)
        self.log.append((key, value, revision, created, lease))

    def delete(self, key, revision):
        if self.items.pop(key, None):
            self.log.append((key, None, revision, 0, 0))

    def operator_put(self, key, value):
        with self.lock:
            self.revision += 1
            self.put(key, base64.b64encode(value.encode()).decode(),
                     self.revision)
            self.lock.notify_all()

    def expire(self):
        with self.lock:
            for lease, (ends, _) in list(self.leases.items()):
                if ends < time.monotonic() and not self.is_down:
                    self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, row in list(self.items.items()):
            if row[3] == lease:
                self.revision += 1
                self.delete(key, self.revision)
        self.lock.notify_all()

    @staticmethod
    def row(key, item):
        return {"key": key, "value": item[0], "revision": item[1],
                "created": item[2], "lease": item[3]}


class Server:
    """One backend server; its runs end by time."""

    def __init__(self, name, host):
        self.name, self.host = name, host
        self.lock = threading.Condition()
        self.token = 0
        self.runs = {}  # task -> [run, ends, lease]
        self.ends = []
        self.next_end = 1
        self.deadline = 0
        self.starts = []

    def settle(self):
        now = clock_ms()
        for task, (run, ends) in list(self.runs.items()):
            if ends <= now or self.deadline < now:
                how = "done" if ends <= now else "lapsed"
                self.finish(task, how)

    def finish(self, task, how):
        run, _ = self.runs.pop(task)
        self.ends.append([self.next_end, task, run, how, ""])
        self.next_end += 1


class Platform:
    def __init__(self, pools, servers):
        self.store = Store()
        self.servers = {}
        self.work_ms = 200
        for pool in range(pools):
            for n in range(servers):
                name = "i-%d-%d" % (pool, n)
                self.servers[name] = Server(name, "m-%d-%d" % (pool, n))
                self.servers[name].pool = "pool%d" % pool


PLATFORM = Platform(1, 3)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, body=None):
        data = json.dumps(body if body is not None else {}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        store = PLATFORM.store
        if url.path == "/control/down":
            store.is_down = query["is"] == "1"
            return self.answer(200)
        if url.path == "/control/starts":
            return self.answer(200, sorted(
                s for v in PLATFORM.servers.values() for s in v.starts))
        if url.path == "/control/value":
            item = store.items.get(query["key"])
            return self.answer(200, base64.b64decode(item[0]).decode()
                               if item else None)
        if url.path == "/-/machines":
            return self.answer(200, {"machines": [
                {"machine": v.host, "pool": v.pool, "state": "up",
                 "zone": "dc0", "id": v.name}
                for v in PLATFORM.servers.values()], "nextPageToken": None})
        if store.is_down:
            return self.answer(503)
        with store.lock:
            if url.path == "/-/kv-key":
                item = store.items.get(query["key"])
                if not item:
                    return self.answer(404)
                return self.answer(200, dict(
                    store.row(query["key"], item), at=store.revision))
            if url.path == "/-/kv-range":
                rows = [store.row(k, store.items[k])
                        for k in sorted(store.items)
                        if k.startswith(query["prefix"])
                        and k > query.get("after", "")]
                # Pages of two, so that reading on is exercised.
                return self.answer(200, {"items": rows[:2],
                                         "hasMore": len(rows) > 2,
                                         "at": store.revision})
            if url.path == "/-/kv-watch":
                return self.watch(store, query)
        return self.answer(404)

    def watch(self, store, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = []
            for key, value, revision, created, lease in store.log:
                if revision > after and key.startswith(prefix):
                    events.append(
                        {"key": key, "revision": revision, "deleted": True}
                        if value is None else
                        {"key": key, "value": value, "revision": revision,
                         "created": created, "lease": lease})
            left = end - time.monotonic()
            if events or left <= 0:
                return self.answer(200, {"events": events,
                                         "at": store.revision})
            store.lock.wait(left)

    def do_POST(self):
        body = self.body()
        if self.path.startswith("/-/kv-"):
            return self.store_call(body)
        name = self.headers.get("Expected-Instance")
        server = PLATFORM.servers.get(name)
        if self.path in ("/-/machine-move", "/-/machine-upkeep"):
            return self.answer(409, {"reason": "busy"})
        if not server:
            return self.answer(421)
        with server.lock:
            if body.get("fencingToken", 0) < server.token:
                return self.answer(409, {"clockMs": clock_ms(),
                                         "reason": "fence"})
            server.token = body.get("fencingToken", 0)
            if body.get("deadlineMs", 0) > server.deadline:
                server.deadline = min(body["deadlineMs"],
                                      clock_ms() + 10000)
            server.settle()
            return self.server_call(server, body)

    def server_call(self, server, body):
        if self.path == "/-/run-start":
            run = server.runs.get(body["task"])
            if not run:
                server.starts.append(body["task"])
                server.runs[body["task"]] = [
                    body["run"], clock_ms() + PLATFORM.work_ms]
            return self.answer(200, {"clockMs": clock_ms()})
        if self.path == "/-/run-stop":
            if body["task"] in server.runs:
                server.finish(body["task"], "stopped")
            return self.answer(200, {"clockMs": clock_ms()})
        if self.path == "/-/hold":
            server.ends = [e for e in server.ends
                           if e[0] > body.get("lastSeen", 0)]
            end = clock_ms() + body.get("waitMs", 0)
            while not server.ends and clock_ms() < end:
                server.lock.wait(0.02)
                server.settle()
            return self.answer(200, {
                "clockMs": clock_ms(), "born": 1,
                "running": [[t, r[0], "", 50, 0]
                            for t, r in server.runs.items()],
                "finished": server.ends[:500]})
        return self.answer(404)

    def store_call(self, body):
        store = PLATFORM.store
        if store.is_down:
            return self.answer(503)
        with store.lock:
            if self.path == "/-/kv-lease":
                lease = len(store.log) + 1000 + len(store.leases)
                ttl = body["ttlMs"]
                store.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return self.answer(200, {"lease": lease, "ttlMs": ttl})
            if self.path.startswith("/-/kv-keep/"):
                lease = int(self.path.rsplit("/", 1)[1])
                if lease not in store.leases:
                    return self.answer(404)
                ttl = store.leases[lease][1]
                store.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return self.answer(200, {"ttlMs": ttl})
            if self.path == "/-/kv-txn":
                return self.txn(store, body)
        return self.answer(404)

    def txn(self, store, body):
        expected = body.get("expectedRevision", [])
        for row in expected:
            item = store.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return self.answer(412, {"items": [
                    store.row(r["key"], store.items[r["key"]])
                    for r in expected if r["key"] in store.items]})
        store.revision += 1
        for row in body.get("writes", []):
            store.put(row["key"], row["value"], store.revision,
                      row.get("lease", 0))
        for key in body.get("remove", []):
            store.delete(key, store.revision)
        store.lock.notify_all()
        return self.answer(200, {"revision": store.revision})


class Listener(http.server.ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """An entry that gives a call up resets its connection."""


def main():
    httpd = Listener(("127.0.0.1", 0), Handler)
    httpd.daemon_threads = True
    address = "127.0.0.1:%d" % httpd.server_address[1]
    store = PLATFORM.store
    store.operator_put("op/config", json.dumps({
        "version": 3,
        "routes": [{"name": "checks", "host": "desk.example",
                    "prefix": "/checks/", "service": "pool0",
                    "maxAttempts": 2, "stretch": 2, "targetCompletionMs": 600,
                    "public": False}],
        "services": [{"name": "pool0", "admissionCheck": True}],
        "limits": {"maxBodyBytes": 65536},
        "tenants": [{"name": "errata", "apiKeys": ["errata-key"],
                     "weight": 1, "maximum": {"cpu": 64000}}]}))
    for server in PLATFORM.servers.values():
        store.operator_put("servers/" + server.name, json.dumps({
            "service": server.pool, "address": address, "zone": "dc0",
            "version": "v1", "state": "ready", "labels": ["a", "r1-1"],
            "freeCapacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
            "born": 1}))

    def expire():
        while True:
            time.sleep(0.05)
            store.expire()

    threading.Thread(target=expire, daemon=True).start()
    print(json.dumps({"address": address}), flush=True)
    httpd.serve_forever()


if __name__ == "__main__":
    sys.exit(main())
