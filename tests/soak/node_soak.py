"""Real entries as processes on loopback, under random faults from outside.

Connections of entries to the platform and to servers go through proxies that
delay or reset them or drop data in one or both directions. Entries are killed,
paused, stopped gracefully and told to reload. The store goes down, loses
replies and compacts its history. Servers restart under their identifiers, the
queue moves to another pool or is removed, and another writer leaves odd entries
among those of the servers. Callers keep their connections open while they can.

Checks what callers and servers observe: an accepted job is known all the time
and finishes; no job is reported as done too early; a refused job never starts;
no task runs twice or out of order; a process that is asked to stop does so in
time. The seed selects the faults, but the timing of real processes varies.

    python3 tests/soak/node_soak.py --seed 1 --seconds 20
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ENTRIES = 3
POOLS = 2
SERVERS = 3  # per pool
KEY = "Bearer errata-key"
JOB = {"spec": "work", "steps": [
    {"count": 3, "cpu": 500, "memMb": 10, "estimatedMs": 200},
    {"count": 2, "cpu": 500, "memMb": 10, "estimatedMs": 200, "after": [0]}]}
# Every entry must know an accepted job within this time.
VISIBLE_S = 3.0
# All accepted work must be done this long after the last fault: the longest
# wait for a silent server plus the backlog.
SETTLE_S = 25.0
# A run that takes this much longer than planned is aborted.
HANG_S = 60
# Timeout of a caller.
CALLER_S = 3.0
# The platform lets a process run for this long after SIGTERM.
GRACE_S = 6.0


class Proxy:
    """Forwards connections to one address and injects faults into them."""

    def __init__(self, target):
        # mode: "open", or what is dropped: data "to" the target, "from" it, or
        # both ("silent"). delay: of each piece of data, in seconds.
        self.target, self.mode, self.delay = target, "open", 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port

    async def accept(self, reader, writer):
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.close()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.pump(reader, target_writer, "to"),
                                 self.pump(target_reader, writer, "from"))
        except asyncio.CancelledError:
            pass  # the run is over
        self.writers -= pair

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Dropped data is never sent, also not after the fault.
                if self.mode in ("silent", direction):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def reset(self):
        for writer in self.writers:
            if writer.is_closing():
                continue
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()


def close_connections(conns):
    for _, writer in conns.values():
        writer.close()
    conns.clear()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Entry:
    """An entry process with a proxy to the platform."""

    def __init__(self, soak, index):
        self.soak, self.index, self.process = soak, index, None
        self.front, self.ready, self.metrics, self.relay = (
            free_port() for _ in range(4))
        self.proxy = Proxy(soak.platform)
        self.last_fault_at = 0.0

    def write_settings(self):
        self.path = os.path.join(self.soak.dir, "node%d.ini" % self.index)
        with open(self.path, "w", encoding="ascii") as f:
            f.write("[node]\nname = node%d\ndata_centre = dc0\n"
                    "[front]\nlisten = 127.0.0.1:%d\n"
                    "readiness = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
                    "[store]\naddress = %s\n[hosts]\naddress = %s\n" % (
                        self.index, self.front, self.ready, self.metrics,
                        self.proxy.address, self.proxy.address))
            # With an even seed other entries carry the owner's orders.
            if self.soak.seed % 2 == 0:
                f.write("[relay]\nlisten = 127.0.0.1:%d\ndirect_max = 0\n" %
                        self.relay)

    def start(self):
        if self.process and self.process.poll() is None:
            return
        log = open(os.path.join(self.soak.dir, "node%d.log" % self.index),
                   "ab")
        self.process = subprocess.Popen(
            [self.soak.binary, "node", "-c", self.path], stdout=log,
            stderr=log)
        log.close()
        self.last_fault_at = time.monotonic()

    def signal(self, number):
        self.last_fault_at = time.monotonic()
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_up(self):
        return self.process.poll() is None


class Soak:
    """One run: the platform, the entries, their callers and the faults."""

    def __init__(self, binary, seed, seconds):
        self.binary, self.seconds = binary, seconds
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix="node-soak-")
        self.seed = seed
        self.violations, self.jobs = [], {}
        self.counts = {}
        self.is_settling = False
        self.queue_faults = 0  # that are under way
        self.cuts = 0  # faults under way that keep an entry from the store
        self.queue_removed_at = -CALLER_S

    def fail(self, text):
        self.violations.append("%.1f s: %s" % (time.monotonic() - self.begin,
                                               text))

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def control(self, path):
        reader, writer = await asyncio.open_connection(
            *self.platform.split(":"))
        writer.write(b"GET /control/%s HTTP/1.1\r\nHost: x\r\n"
                     b"Connection: close\r\n\r\n" % path.encode())
        data = await reader.read()
        writer.close()
        return json.loads(data.split(b"\r\n\r\n", 1)[1])

    async def start(self):
        self.platform_process = subprocess.Popen(
            [sys.executable, "tests/process/shared_platform.py", str(POOLS)],
            stdout=subprocess.PIPE)
        line = await asyncio.to_thread(self.platform_process.stdout.readline)
        self.platform = json.loads(line)["address"]
        self.begin = time.monotonic()
        self.servers = []
        for i in range(POOLS * SERVERS):
            proxy = Proxy(self.platform)
            await proxy.start()
            self.servers.append(proxy)
            await self.control("address?server=i-%d-%d&address=%s" % (
                i // SERVERS, i % SERVERS, proxy.address))
        self.entries = [Entry(self, i) for i in range(ENTRIES)]
        for e in self.entries:
            await e.proxy.start()
            e.write_settings()
            e.start()

    async def stop(self):
        for p in self.servers + [e.proxy for e in self.entries]:
            p.server.close()
            p.reset()
        for e in self.entries:
            if e.is_up():
                e.process.send_signal(signal.SIGCONT)
                e.process.kill()
                e.process.wait()
        self.platform_process.kill()
        self.platform_process.wait()
        # The tasks of the proxies see the end of their connections.
        await asyncio.sleep(0.2)

    # Callers.

    async def call(self, conn, method, path, body=None):
        """Sends a request on an open connection and returns the answer."""
        reader, writer = conn
        data = json.dumps(body).encode() if body else b""
        writer.write(("%s %s HTTP/1.1\r\nHost: desk.example\r\n"
                      "Authorization: %s\r\nContent-Length: %d\r\n"
                      "Timeout-Ms: %d\r\n\r\n" % (
                          method, path, KEY, len(data),
                          CALLER_S * 1000)).encode() + data)
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for row in head.decode().split("\r\n"):
            name, _, value = row.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        text = await reader.readexactly(length)
        status = int(head.split(b" ", 2)[1])
        return status, json.loads(text) if text else {}

    async def ask(self, conns, entry, method, path, body=None):
        """Sends a request, reusing the connection. None: no whole answer."""
        try:
            if entry not in conns:
                conns[entry] = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", entry.front),
                    CALLER_S)
            return await asyncio.wait_for(
                self.call(conns[entry], method, path, body), CALLER_S)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            conn = conns.pop(entry, None)
            if conn:
                conn[1].close()
            return None

    def was_queue_removed(self):
        return time.monotonic() - self.queue_removed_at < CALLER_S

    def check_state(self, job, entry, answer, asked):
        if not answer:
            return
        status, body = answer
        row = self.jobs[job]
        if status == 410 and row["accepted"] and \
                asked - row["accepted"] > VISIBLE_S and \
                asked - entry.last_fault_at > VISIBLE_S:
            self.fail("LOST: node%d does not know %s" % (entry.index, job))
        if status == 200 and body.get("state") in ("failed", "cancelled"):
            self.fail("LOST: %s is shown as %s" % (job, body["state"]))
        if status == 200 and body.get("state") == "done":
            row["done"] = True

    async def caller(self, number):
        conns = {}
        serial = 0
        while not self.is_settling:
            serial += 1
            job = "%08x%08x" % (number + 1, serial)
            row = self.jobs[job] = {"accepted": 0, "refused": 0, "sent": 0,
                                    "done": False}
            for _ in range(4):
                entry = self.rng.choice(self.entries)
                row["sent"] += 1
                answer = await self.ask(conns, entry, "POST",
                                        "/checks/" + job, JOB)
                if answer and answer[0] == 200:
                    row["accepted"] = time.monotonic()
                    break
                if answer and answer[0] in (429, 503):
                    row["refused"] += 1
                elif answer and answer[0] != 504 and not (
                        answer[0] == 404 and self.was_queue_removed()):
                    self.fail("%s is answered %d" % (job, answer[0]))
                await asyncio.sleep(0.3)
            for _ in range(self.rng.randrange(3)):
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
                entry = self.rng.choice(self.entries)
                asked = time.monotonic()
                self.check_state(job, entry, await self.ask(
                    conns, entry, "GET", "/checks/" + job), asked)
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        close_connections(conns)

    # Faults. Each ends by itself; they overlap.

    async def kill(self):
        e = self.rng.choice(self.entries)
        process = e.process
        e.signal(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        process.wait(1)
        e.start()

    async def kill_all(self):
        processes = [e.process for e in self.entries]
        for e in self.entries:
            e.signal(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        for process, e in zip(processes, self.entries):
            process.wait(1)
            e.start()

    async def pause(self):
        e = self.rng.choice(self.entries)
        e.signal(signal.SIGSTOP)
        self.cuts += 1
        await asyncio.sleep(self.rng.uniform(0.2, 6))
        self.cuts -= 1
        e.signal(signal.SIGCONT)

    async def terminate(self):
        e = self.rng.choice(self.entries)
        process = e.process
        e.signal(signal.SIGCONT)
        e.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
            if time.monotonic() - e.last_fault_at >= GRACE_S:
                self.fail("node%d did not stop in time" % e.index)
            process.wait(1)
        e.start()

    async def reload(self):
        self.rng.choice(self.entries).signal(signal.SIGHUP)

    async def store_down(self):
        await self.control("down?is=1")
        self.cuts += 1
        await asyncio.sleep(self.rng.uniform(0.3, 6))
        self.cuts -= 1
        await self.control("down?is=0")

    async def store_loses(self):
        await self.control("lose?share=0.3")
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        await self.control("lose?share=0")

    async def compact(self):
        await self.control("compact")

    async def restart_server(self):
        await self.control("restart?server=i-%d-%d" % (
            self.rng.randrange(POOLS), self.rng.randrange(SERVERS)))

    async def odd_entry(self):
        await self.control("odd?kind=" + self.rng.choice(
            ("deep", "number", "port", "large")))

    async def move_queue(self):
        self.queue_faults += 1
        await self.control("queue?pool=pool%d" % self.rng.randrange(POOLS))
        await asyncio.sleep(self.rng.uniform(0.2, 6))
        await self.end_queue_fault()

    async def remove_queue(self):
        self.queue_faults += 1
        end = time.monotonic() + self.rng.uniform(0.5, 5)
        await self.control("queue")
        while time.monotonic() < end:
            self.queue_removed_at = time.monotonic()
            await asyncio.sleep(0.1)
        await self.end_queue_fault()
        # An entry that can't read the store goes by the last configuration.
        while self.cuts:
            self.queue_removed_at = time.monotonic()
            await asyncio.sleep(0.1)

    async def end_queue_fault(self):
        self.queue_faults -= 1
        if not self.queue_faults:
            await self.control("queue?pool=pool0")

    async def link(self):
        proxies = self.servers + [e.proxy for e in self.entries]
        p = self.rng.choice(proxies)
        kind = self.rng.choice(("silent", "to", "from", "reset", "delay"))
        self.count("link_" + kind)
        if kind == "reset":
            p.reset()
            return
        if kind == "delay":
            p.delay = self.rng.uniform(0.02, 0.3)
        else:
            p.mode = kind
        self.cuts += 1
        await asyncio.sleep(self.rng.uniform(0.3, 7))
        self.cuts -= 1
        p.mode, p.delay = "open", 0.0
        if kind != "delay" and self.rng.random() < 0.5:
            p.reset()

    async def faults(self):
        kinds = [self.kill, self.pause, self.terminate, self.reload,
                 self.store_down, self.store_loses, self.compact, self.link,
                 self.link, self.link, self.kill_all, self.restart_server,
                 self.odd_entry, self.move_queue, self.remove_queue]
        tasks = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1.2))
            kind = self.rng.choice(kinds)
            self.count(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    # After the faults have ended all accepted jobs must finish.

    async def settle(self):
        conns = {}
        end = time.monotonic() + SETTLE_S
        left = [j for j, r in self.jobs.items() if r["accepted"]]
        while left and time.monotonic() < end:
            for job in list(left):
                entry = self.rng.choice(self.entries)
                asked = time.monotonic()
                self.check_state(job, entry, await self.ask(
                    conns, entry, "GET", "/checks/" + job), asked)
                if self.jobs[job]["done"]:
                    left.remove(job)
            await asyncio.sleep(0.2)
        close_connections(conns)
        if left:
            self.fail("LOST: %d accepted jobs are not done, first %s" % (
                len(left), left[0]))

    async def check(self):
        starts = {s.split(".")[0] for s in await self.control("starts")}
        for job, row in self.jobs.items():
            if row["refused"] == row["sent"] and job in starts:
                self.fail("REFUSED: %s started" % job)
        self.violations += await self.control("broken")

    async def run(self):
        await self.start()
        try:
            callers = [asyncio.create_task(self.caller(i)) for i in range(6)]
            await self.faults()
            self.is_settling = True
            await asyncio.gather(*callers)
            for e in self.entries:
                e.start()
            await self.settle()
            await self.check()
        finally:
            await self.stop()
        accepted = sum(1 for r in self.jobs.values() if r["accepted"])
        print("%d jobs, %d accepted; faults %s" % (
            len(self.jobs), accepted, dict(sorted(self.counts.items()))))
        return not self.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--binary", default="build/rel/camphorshed")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    args = parser.parse_args()
    soak = Soak(args.binary, args.seed, args.seconds)
    # A run that hangs fails too.
    signal.alarm(int(args.seconds + SETTLE_S + HANG_S))
    has_passed = asyncio.run(soak.run())
    for text in soak.violations:
        print("seed %d: %s" % (args.seed, text))
    if has_passed:
        shutil.rmtree(soak.dir)
    else:
        print("logs are in %s" % soak.dir)
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
