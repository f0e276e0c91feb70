"""Stand-ins for the platform of a small deployment, for the scripts under review/.

One asyncio process plays the metadata store, the instances and the clients; the node processes are
the project's own program, started with the command of deploy/system.toml. Everything listens on
loopback addresses. The stand-ins follow PROTOCOL.md; where it is silent they behave soundly.
"""
import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_MS = 870  # platform.heartbeat_ms
REUSE_AFTER_S = 2  # terms.bounds.reuse_after_s
DRAIN_S = 2.0  # terms.bounds.drain_ms
MEMORY_MB = 260  # self.limits.memory_mb


class Record:
    """Writes record.txt and keeps the violations that the check found."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.violations = []

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def violation(self, text):
        self.violations.append(text)
        self.write("VIOLATION " + text)


class Head:
    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.strip().lower()] = value.strip()


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        body += data[:-2]
        if size == 0:
            return body


async def read_message(reader):
    """Reads a head and its body; the body ends with the connection if it has no length."""
    raw = await reader.readuntil(b"\r\n\r\n")
    head = Head(raw[:-4])
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        return head, await read_chunked(reader)
    length = head.fields.get("content-length")
    if length is not None:
        return head, await reader.readexactly(int(length))
    if head.start.startswith("HTTP/1.1 ") and head.start[9:12] not in ("204", "304"):
        return head, await reader.read(-1)
    return head, b""


def message(status, fields=(), body=b""):
    reason = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    text = f"HTTP/1.1 {status} {reason}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store. `mode` is up, busy (503 to every call) or reset."""

    def __init__(self, world):
        self.world, self.record = world, world.record
        self.rows = {}
        self.ver = 1
        self.era = 1
        self.mode = "up"
        self.changed = asyncio.Event()
        self.writers = set()
        self.last_beat = {}

    async def start(self):
        host = self.world.next_host()
        self.server = await asyncio.start_server(self.serve, host, 8642, limit=1 << 24)
        self.address = self.server.sockets[0].getsockname()

    def bump(self):
        self.ver += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def put(self, table, key, value):
        """A write of the operator or of an instance; False while the store is down."""
        if self.mode != "up":
            return False
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.bump())
        return True

    def remove(self, table, key):
        if (table, "", key) in self.rows and self.rows[(table, "", key)][0] is not None:
            self.rows[(table, "", key)] = (None, self.bump())

    def set_mode(self, mode):
        """Goes down or comes back; live instances get the time of three heartbeats to return."""
        self.record.write(f"store: {mode}")
        self.mode = mode
        if mode == "up":
            self.last_beat = {name: time.monotonic() for name in self.last_beat}

    async def expire(self):
        """Removes entries after three silent heartbeat intervals."""
        while True:
            await asyncio.sleep(0.05)
            if self.mode != "up":
                continue
            now = time.monotonic()
            for name, at in list(self.last_beat.items()):
                if now - at > 3 * HEARTBEAT_MS / 1e3:
                    del self.last_beat[name]
                    self.remove("servers", name)
                    self.record.write(f"store: entry of {name} removed, silent")

    def encode(self, key):
        value, ver = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if self.mode == "reset":
                    return reset(writer)
                if self.mode == "busy":
                    status, reply = 503, {}
                else:
                    status, reply = await self.handle(head, body)
                    if self.mode != "up":
                        status, reply = 503, {}
                reply["now_ms"] = int(time.monotonic() * 1e3)
                fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                await asyncio.sleep(0.003)
                writer.write(message(status, fields, json.dumps(reply).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, body):
        method, target, _ = head.start.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            table, part = query["table"], query.get("part", "")
            first, last = query.get("from", ""), query.get("to")
            limit = min(int(query.get("limit", 500)), 500)
            keys = sorted(k for k, row in self.rows.items()
                          if k[0] == table and k[1] == part and k[2] >= first
                          and (not last or k[2] < last) and row[0] is not None)
            rows = [self.encode(k) for k in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.ver}
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, tx):
        def key(row):
            return row["table"], row.get("part", ""), row["key"]

        def current(row):
            value, ver = self.rows.get(key(row), (None, 0))
            return 0 if value is None else ver

        if any(row["table"] in ("op", "servers") for row in tx["set_keys"] + tx["delete_keys"]):
            return 403, {}
        if any(current(row) != row.get("ver", 0) for row in tx["precondition"]):
            rows = [self.encode(key(r)) for r in tx["precondition"] if key(r) in self.rows]
            return 412, {"rows": rows, "ver": self.ver}
        ver = self.bump()
        for row in tx["set_keys"]:
            self.rows[key(row)] = (row["value"], ver)
        for row in tx["delete_keys"]:
            self.rows[key(row)] = (None, ver)
        return 200, {"ver": ver}

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while True:
            if after > self.ver:
                return 410, {}
            changed = self.changed
            keys = [k for k, row in self.rows.items() if k[0] == query["table"] and row[1] > after]
            keys.sort(key=lambda k: self.rows[k][1])
            left = end - time.monotonic()
            if keys or left <= 0 or self.mode != "up":
                return 200, {"rows": [self.encode(k) for k in keys], "ver": self.ver}
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


class Instance:
    """One process of a service, with its keys and the requests that it runs."""

    def __init__(self, world, name, service, keyed, slots=6, work_s=0.03):
        self.world, self.name, self.service, self.keyed = world, name, service, keyed
        self.slots, self.work_s = slots, work_s
        self.holds = []  # (first, last, fence, until)
        self.seen = []  # (first, last, fence)
        self.state, self.alive = "ready", False
        self.writers, self.tasks = set(), set()
        self.busy = 0
        self.answer = None  # replaces the answer of a request that ran
        self.seal = 0

    async def start(self, address=None):
        host, port = address or (self.world.next_host(), 8080)
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 17)
        self.address = self.server.sockets[0].getsockname()
        self.born = int(time.time() * 1e3)
        self.alive = True
        self.world.instances.append(self)
        self.beating = self.world.spawn(self.beat())
        self.world.record.write(f"instance {self.name} of {self.service} starts at %s:%d" % self.address)

    async def beat(self):
        for seq in itertools.count(1):
            entry = {"address": "%s:%d" % self.address, "born": self.born,
                     "info": {"service": self.service, "version": "v1", "zone": "zone-a",
                              "slots": self.slots},
                     "status": {"state": self.state, "seq": seq, "warmup_left_ms": 0}}
            if self.world.store.put("servers", self.name, entry):
                self.world.store.last_beat[self.name] = time.monotonic()
            await asyncio.sleep(HEARTBEAT_MS / 1e3)

    def crash(self):
        """Ends at once: the port closes and every connection breaks."""
        self.alive = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.holds.clear()
        self.world.record.write(f"instance {self.name} crashes")

    def key_range_holds(self):
        now = time.monotonic()
        self.holds = [h for h in self.holds if h[3] > now]
        return self.holds

    def highest(self, first, last):
        return max((f for a, b, f in self.seen if a <= last and first <= b), default=-1)

    def cut(self, first, last):
        kept = []
        for a, b, fence, until in self.key_range_holds():
            if b < first or last < a:
                kept.append((a, b, fence, until))
                continue
            if a < first:
                kept.append((a, first - 1, fence, until))
            if last < b:
                kept.append((last + 1, b, fence, until))
        self.holds = kept

    def grant(self, body):
        first, last, fence = body["from"], body["to"], body["fence"]
        if fence < self.highest(first, last):
            self.world.record.write(f"{self.name}: grant {first}-{last} fence {fence} refused, 409")
            return message(409, [], b"{}")
        self.seen.append((first, last, fence))
        self.cut(first, last)
        until = time.monotonic() + body["hold_ms"] / 1e3
        self.holds.append((first, last, fence, until))
        self.world.record.write(
            f"{self.name} of {self.service}: granted {first}-{last} fence {fence} for {body['hold_ms']} ms")
        return message(200, [("Content-Type", "application/json")], b"{}")

    def release(self, body):
        first, last, fence = body["from"], body["to"], body["fence"]
        self.seen.append((first, last, fence))
        self.cut(first, last)
        self.world.record.write(f"{self.name}: released {first}-{last} fence {fence}")
        return message(200, [("X-Handover", "5c0e7a21d94b36f8")], b"{}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                method, target, _ = head.start.split(" ")
                if target == "/grant":
                    writer.write(self.grant(json.loads(body)))
                elif target == "/release":
                    writer.write(self.release(json.loads(body)))
                elif target == "/health":
                    writer.write(message(200, [("X-Instance-Id", self.name)]))
                elif not await self.run(head, body, method, target, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, head, body, method, target, writer):
        """Handles a client's request; returns False to end the connection."""
        name = head.fields.get("x-request-id")
        echo = [("X-Request-Id", name)]
        not_run = echo + [("X-Not-Executed", "1"), ("X-Instance-Id", self.name)]
        if name is None:
            writer.write(message(400, [("X-Not-Executed", "1")]))
            return True
        expected = head.fields.get("x-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(message(421, not_run))
            return True
        if self.keyed:
            key = int(head.fields.get("x-shard-key", -1))
            if not any(a <= key <= b for a, b, _, _ in self.key_range_holds()):
                writer.write(message(421, not_run))
                return True
        if self.busy >= 4 * self.slots:
            writer.write(message(503, not_run))
            return True
        self.busy += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
            self.running += 1
            try:
                self.world.ran(self, name, method, target, body)
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        finally:
            self.busy -= 1
        reply = f"answer to {name} by {self.name}\n".encode()
        self.world.answers[name] = reply
        if self.answer is not None:
            return await self.answer(self, name, reply, writer)
        writer.write(message(200, echo + [("X-Server-Seal", f"seal.{name}")], reply))
        return True

    running = 0


class Node:
    """A node process, started as the deploy file says."""

    def __init__(self, world, name, zone="zone-a", memory_mb=MEMORY_MB, grace_s=6):
        self.world, self.name = world, name
        self.host = world.next_host()
        self.path = os.path.join(world.folder, f"{name}.conf")
        self.memory_mb = memory_mb
        text = f"""grants=rpc
self.node={name}
self.role=node
self.class=front
self.serves=front
self.ip={self.host}
self.zone={zone}
self.region=region-a
self.count_loss=false
self.bootstrap=true
self.limits.cpu_share=0.2
self.limits.cores=1
self.limits.memory_mb={memory_mb}
self.limits.max_fds=4100
self.limits.link_mbps=1000.0
self.limits.disk_mb=0
network.listen.front={self.host}:8641
network.listen.ready={self.host}:8640
network.internal_port_range=7620,7635
network.zones.zone-a=region-a
platform.discovery=platform
platform.entry=vip
platform.heartbeat_ms={HEARTBEAT_MS}
platform.platform.address={world.store.address[0]}:{world.store.address[1]}
platform.platform.form=table
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.history_s=20
terms.bounds.reuse_after_s={REUSE_AFTER_S}
terms.bounds.stability_window_ms=3000
terms.bounds.drain_ms=2000
terms.bounds.grace_s={grace_s}
terms.bounds.lost_slack_ms=200
terms.bounds.config_apply_ms=2000
terms.bounds.budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.budget_slack=64
terms.bounds.recover_s=15
terms.bounds.hold_max_ms=10000
terms.bounds.thaw_slack_ms=300
"""
        with open(self.path, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["GOOSEBERRYLOFT_SETTINGS"] = self.path
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.world.record.write(f"node {self.name} started, process {self.process.pid}")

    def signal(self, number):
        self.world.record.write(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call((self.host, 8640), "GET", "/ready", host="ready"), 1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(address, method, path, host="site.example", fields=(), body=b"", connection=None):
    """Sends one request and returns status, fields and body."""
    reader, writer = connection or await asyncio.open_connection(*address, limit=1 << 24)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write((head + "\r\n").encode() + body)
        await writer.drain()
        head, answer = await read_message(reader)
        return int(head.start[9:12]), head.fields, answer
    finally:
        if connection is None:
            writer.close()


class World:
    """A small deployment: a store, instances, nodes and what clients and instances saw."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Every machine has a loopback address of its own, so that ports are the same on all.
        self.net, self.hosts = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}", 0
        self.store = Store(self)
        self.instances, self.nodes = [], []
        self.runs, self.answers, self.sent = {}, {}, {}
        self.ids = itertools.count(1)
        self.results, self.tasks = {}, set()

    def spawn(self, work):
        """Starts a task and keeps it, as the event loop itself holds no reference."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def next_host(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    def ran(self, instance, name, method, target, body):
        self.runs.setdefault(name, []).append(instance.name)
        self.record.write(f"{instance.name} runs {name} {method} {target}")
        sent = self.sent.get(name)
        if sent is None or sent != (method, target, len(body)):
            self.record.violation(f"UNASKED {instance.name} ran {name} {method} {target}, sent: {sent}")

    async def request(self, node, method, path, key=None, deadline_ms=1200, body=b"",
                      connection=None):
        """Sends a client's request; returns its id, status (None without an answer) and body."""
        name = f"q{next(self.ids):06d}"
        self.sent[name] = (method, path, len(body))
        fields = [("X-Request-Id", name), ("X-Request-Deadline", deadline_ms)]
        if key is not None:
            fields.append(("X-Shard-Key", key))
        self.record.write(f"client sends {name} {method} {path} key {key} to {node.name}")
        status, answer = None, b""
        try:
            status, _, answer = await asyncio.wait_for(
                call((node.host, 8641), method, path, fields=fields, body=body, connection=connection),
                deadline_ms / 1e3 + 3)
            self.record.write(f"client gets {name} {status}")
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record.write(f"client gets {name} no answer: {type(error).__name__}")
        self.results[name] = (status, answer)
        return name, status, answer

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes don't get ready")

    def end(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder)


class CannotRun(Exception):
    pass


def route(prefix, kind, service, timeout_ms=1200, objective_ms=600, max_attempts=2):
    return {"host": "site.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": objective_ms, "priority": 1, "service": service,
            "max_attempts": max_attempts}


def manifest(version, routes, services, max_body_bytes=67108864):
    return {"version": f"{version:08x}", "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def service(sharded=False):
    plain = {"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}
    return {**plain, "sharded": True, "warm_s": 3.0, "grants": "rpc"} if sharded else plain


BROKEN = 71  # run.sh turns it into 1; Python itself exits with 1 if it can't load a script


def main(folder, scenario):
    """Runs a scenario; exits with BROKEN if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(folder)
        code = 2
        try:
            await asyncio.wait_for(scenario(world, trouble), 115)
            code = BROKEN if world.record.violations else 0
        except CannotRun as error:
            world.record.write(f"cannot run: {error}")
        except asyncio.CancelledError:
            world.record.write("stopped")
        except Exception as error:  # a fault of the script is no fault of the project
            world.record.write(f"script failed: {error!r}")
            print(f"script failed: {error!r}", file=sys.stderr)
        finally:
            world.end()
            world.record.write("end")
            world.record.file.flush()
        for line in world.record.violations[:10]:
            print(line)
        print({0: "held", BROKEN: "broken", 2: "could not run"}[code])
        return code

    code = asyncio.run(play())
    sys.stdout.flush()
    os._exit(code)
