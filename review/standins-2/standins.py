"""Stand-ins for the platform's store and for instances, and helpers to run the project's node.

Everything runs in one asyncio loop on loopback addresses. A stand-in does what the users' pages
say; where they say nothing, it behaves like a sound server.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs
from urllib.parse import urlsplit

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
NODE = REPOSITORY / "target/release/gooseberryloft-node"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, *words):
        elapsed = time.monotonic() - self.start
        self.file.write(f"{elapsed:9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()

    def append(self, path):
        """Adds the record of another process, whose times begin with that process."""
        self.file.write(f"-- {path.name}\n" + path.read_text(encoding="utf-8"))

    def close(self):
        self.file.close()


class Message:
    """A request or a response as received."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def path(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def field(self, name, default=""):
        return self.fields.get(name, default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_message(reader, bodiless=False):
    first, fields = await read_head(reader)
    if bodiless:
        return Message(first, fields, b"")
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, fields, await read_chunks(reader))
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
        return Message(first, fields, body)
    is_response = first.startswith("HTTP/")
    body = await reader.read() if is_response else b""
    return Message(first, fields, body)


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def encode_response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server of HTTP/1.1 on a loopback address, with keep-alive."""

    def __init__(self):
        self.port = None
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.answer(request, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.started = time.monotonic()

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return row if row and row["value"] is not None else None

    async def put(self, table, key, value):
        """Writes a row on behalf of the operator or an instance; `None` removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.write([((table, "", key), text)])

    async def write(self, changes):
        self.version += 1
        for key, text in changes:
            self.rows[key] = {"value": text, "ver": self.version}
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, request, reader, writer):
        status, body = await self.handle(request)
        writer.write(encode_response(status, [("Store-Era", "1"),
                                              ("Content-Type", "application/json")],
                                     json.dumps(body).encode()))
        return True

    async def handle(self, request):
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls = {"/rows-tx": self.transact, "/rows-get": self.read, "/rows-feed": self.feed}
        call = calls.get(url.path)
        status, body = await call(query, request.body) if call else (404, {})
        body["now_ms"] = int((time.monotonic() - self.started) * 1e3)
        await asyncio.sleep(0.003)
        return status, body

    async def transact(self, _, body):
        tx = json.loads(body)
        place = lambda row: (row["table"], row.get("part", ""), row["key"])
        found = []
        for row in tx.get("precondition", []):
            current = self.get(row["table"], row["key"], row.get("part", ""))
            found.append((row, current["ver"] if current else 0))
        if any(row.get("ver", 0) != version for row, version in found):
            rows = [{**row, "ver": version} for row, version in found]
            return 412, {"rows": rows, "ver": self.version}
        sets = [(place(row), row["value"]) for row in tx.get("set_keys", [])]
        drops = [(place(row), None) for row in tx.get("delete_keys", [])]
        if any(key[0] in ("op", "servers") for key, _ in sets + drops):
            return 403, {}
        await self.write(sets + drops)
        return 200, {"ver": self.version}

    def encode_row(self, key, row):
        table, part, name = key
        encoded = {"table": table, "part": part, "key": name, "ver": row["ver"]}
        if row["value"] is None:
            return {**encoded, "tombstone": True}
        return {**encoded, "value": row["value"]}

    async def read(self, query, _):
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        place = (query.get("table", ""), query.get("part", ""))
        rows = [self.encode_row(key, row) for key, row in sorted(self.rows.items())
                if key[:2] == place and key[2] >= first and row["value"] is not None
                and (last is None or key[2] < last)]
        return 200, {"rows": rows[:limit], "has_more": len(rows) > limit, "ver": self.version}

    async def feed(self, query, _):
        table, after = query.get("table", ""), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while True:
            rows = [self.encode_row(key, row) for key, row in self.rows.items()
                    if key[0] == table and row["ver"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.version}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class StoreDoor(Server):
    """The store as one machine meets it: it may turn that machine away, and the machine may reach
    instances only over links of its own, whose addresses it gets in place of theirs."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.links = {}
        self.turns_away = False

    async def answer(self, request, reader, writer):
        if self.turns_away:
            writer.write(encode_response(503, [("Store-Era", "1")]))
            return True
        status, body = await self.store.handle(request)
        if self.turns_away:
            writer.transport.abort()
            return False
        for row in body.get("rows", []):
            link = self.links.get(row["key"])
            if row["table"] == "servers" and link and row.get("value"):
                entry = json.loads(base64.b64decode(row["value"]))
                entry["address"] = link.address
                row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()
        writer.write(encode_response(status, [("Store-Era", "1"),
                                              ("Content-Type", "application/json")],
                                     json.dumps(body).encode()))
        return True


class Link(Server):
    """The link between one machine and one instance: a proxy that may be cut."""

    def __init__(self, instance):
        super().__init__()
        self.instance = instance

    async def serve(self, reader, writer):
        try:
            there = await asyncio.open_connection("127.0.0.1", self.instance.port)
        except OSError:
            return writer.transport.abort()
        self.writers |= {writer, there[1]}

        async def copy(source, sink):
            try:
                while data := await source.read(1 << 16):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                sink.transport.abort()

        await asyncio.gather(copy(reader, there[1]), copy(there[0], writer))
        self.writers -= {writer, there[1]}

    async def cut(self):
        """Resets the open connections and refuses new ones."""
        await self.stop()

    async def heal(self):
        await self.start(self.port)


class Instance(Server):
    """An instance of a service: slots, a short queue, and grants if its keys have owners."""

    def __init__(self, name, service, record, *, slots=2, queue=8, work_s=0.02, keyed=False,
                 body=b"found\n", zone="sierra-a"):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.keyed = keyed
        self.body = body
        self.zone = zone
        self.born = int(time.time() * 1e3)
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.ran = {}
        self.grants = {}
        self.seen = {}
        self.seq = 0
        self.state = "ready"
        self.leaving = False

    def entry(self):
        self.seq += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "warmup_left_ms": 0}}

    async def answer(self, request, reader, writer):
        path = urlsplit(request.path).path
        if path == "/health":
            writer.write(encode_response(200, [("X-Instance-Id", self.name)]))
            return True
        if path in ("/grant", "/release"):
            writer.write(self.order(path, json.loads(request.body)))
            return True
        answer = await self.run(request)
        if self.leaving:
            line, _, rest = answer.partition(b"\r\n")
            answer = line + b"\r\nServer-Leaving: 1\r\n" + rest
        writer.write(answer)
        return True

    def order(self, path, order):
        keys = range(order["from"], order["to"] + 1)
        fence = order["fence"]
        if path == "/grant":
            if any(self.seen.get(key, 0) > fence for key in keys):
                return encode_response(409, [], b"{}")
            until = time.monotonic() + order["hold_ms"] / 1e3
            for key in keys:
                self.seen[key] = fence
                self.grants[key] = until
            return encode_response(200, [], b"{}")
        for key in keys:
            if fence >= self.seen.get(key, 0):
                self.seen[key] = fence
                self.grants.pop(key, None)
        return encode_response(200, [("X-Handover", "h-1")], b"{}")

    def holds(self, request):
        if not self.keyed:
            return True
        until = self.grants.get(int(request.field("x-shard-key", "-1")))
        return until is not None and time.monotonic() < until

    async def run(self, request):
        number = request.field("x-request-id")
        echo = [("X-Request-Id", number)]
        not_run = echo + [("X-Not-Executed", "1")]
        if request.field("x-expect-instance") != self.name:
            return encode_response(421, not_run + [("X-Instance-Id", self.name)])
        if not self.holds(request):
            return encode_response(421, not_run)
        if self.waiting >= self.queue + self.slots:
            return encode_response(503, not_run)
        self.waiting += 1
        try:
            async with self.free:
                self.ran[number] = self.ran.get(number, 0) + 1
                self.record.write("run", self.name, request.method, request.path, number)
                await asyncio.sleep(self.work_s)
        finally:
            self.waiting -= 1
        return encode_response(200, echo + [("X-Server-Seal", f"seal-{self.name}")], self.body)


async def register(store, instance, period_s=1.5):
    """Publishes the entry of an instance, and writes it again as instances do."""
    while True:
        await store.put("servers", instance.name, instance.entry())
        await asyncio.sleep(period_s)


def manifest(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


SETTINGS = """grants=rpc
self.node={name}
self.role=node
self.class=front
self.serves=front
self.ip=127.0.0.1
self.zone={zone}
self.region=ec-sierra
self.count_loss=false
self.bootstrap={bootstrap}
self.limits.cpu_share=0.2
self.limits.cores=1
self.limits.memory_mb={memory_mb}
self.limits.max_fds={max_fds}
self.limits.link_mbps=1000.0
self.limits.disk_mb=0
network.listen.front=127.0.0.1:{front}
network.listen.ready=127.0.0.1:{ready}
network.internal_port_range={peer},{peer}
network.seeds=
network.zones.sierra-a=ec-sierra
network.zones.sierra-b=ec-sierra
platform.discovery=platform
platform.entry=vip
platform.heartbeat_ms=1500
platform.platform.address={store}
platform.platform.form=table
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.tx_ms=3.0
platform.platform.partition_writes_s=300
platform.platform.row_bytes=65536
platform.platform.across=true
platform.platform.history_s=20
platform.platform.blob_bytes=8388608
platform.platform.blob_ms=25.0
platform.platform.blob_mb_s=80.0
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.fault_tolerance.machines=1
terms.fault_tolerance.zones=0
terms.fault_tolerance.regions=0
terms.bounds.seed_lag_s=3
terms.bounds.reuse_after_s=2
terms.bounds.stability_window_ms=3000
terms.bounds.ack_timeout_ms=4000
terms.bounds.catch_up_s=4
terms.bounds.drain_ms=2000
terms.bounds.grace_s=6
terms.bounds.lost_slack_ms=200
terms.bounds.config_apply_ms=2000
terms.bounds.rollback_slack_ms=250
terms.bounds.outer_ms=5000
terms.bounds.budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.budget_slack=62
terms.bounds.recover_s=15
terms.bounds.hold_max_ms=10000
terms.bounds.thaw_slack_ms=300
"""


class Node:
    """A process of the project's node, started as the deploy file does."""

    def __init__(self, name, folder, store, *, zone="sierra-a", memory_mb=260, max_fds=4100):
        self.name = name
        self.folder = pathlib.Path(folder)
        self.front = free_port()
        self.ready = free_port()
        self.peer = free_port()
        self.metrics = free_port()
        self.fields = dict(name=name, zone=zone, memory_mb=memory_mb, max_fds=max_fds,
                           front=self.front, ready=self.ready, peer=self.peer,
                           store=store)
        self.process = None

    def start(self, bootstrap=True):
        path = self.folder / f"{self.name}.conf"
        path.write_text(SETTINGS.format(bootstrap=str(bootstrap).lower(), **self.fields))
        log = open(self.folder / f"{self.name}.log", "ab")
        environment = {"GOOSEBERRYLOFT_SETTINGS": str(path)}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        self.process = subprocess.Popen([str(NODE), "--metrics", str(self.metrics)],
                                        cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        return self

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def status_mb(self, field):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(field + ":"))
        return int(line.split()[1]) * 1024 / 1e6

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def call(port, request, timeout_s, bodiless=False):
    """Sends a request on a new connection, as a requester does; returns the answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            writer.write(request)
            return await read_message(reader, bodiless)
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout_s)


def get(path, number, *, host="site.example", deadline_ms=1200, method="GET", fields=(), body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {number}",
             f"X-Request-Deadline: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


async def probe(node, timeout_s=1.0):
    """Returns the status of the node's answer to the platform's question; 0 without an answer."""
    try:
        reply = await call(node.ready, b"GET /ready HTTP/1.1\r\nHost: node\r\n\r\n", timeout_s)
        return reply.status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


async def wait_ready(node, timeout_s=15.0):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if await probe(node) == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(case, main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case).resolve().parent / "record.txt")
    nodes, helpers = [], []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if not NODE.exists():
            print("the node is not built")
            return 2
        with tempfile.TemporaryDirectory() as folder:
            try:
                return asyncio.run(main(trouble, record, nodes, pathlib.Path(folder), helpers))
            finally:
                for node in nodes:
                    node.end()
                for helper in helpers:
                    helper.kill()
                    helper.wait()
    except Exception as error:
        traceback.print_exc()
        record.write("the case couldn't run:", repr(error))
        return 2
    finally:
        record.close()
