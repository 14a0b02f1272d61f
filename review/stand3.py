"""Stand-ins for the cases 11 to 15: the platform's store, engines, clients, processes.

Only the standard library is used. The stand-ins live in the process of the case, on
loopback addresses and the real clock; the gateways are processes of their own, started
with the command of deploy/system.toml. The stand-ins behave as the users' pages say:
PROTOCOL.md for the store and the engines, DEPLOY.md for the settings, the memory limit
and the restarts.
"""

import asyncio
import base64
import bisect
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
MB = 1_000_000
RUN = "run"


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, what, **fields):
        at = time.monotonic() - self.began
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {rest}\n")
        self.file.flush()


# HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        url = urlsplit(target)
        self.path = url.path
        self.query = {k: v[0] for k, v in parse_qs(url.query).items()}


async def read_head(reader):
    """Returns the first line and the headers (lower case), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server; ``handle(request, writer)`` writes the response."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=1024
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.handle(Request(method, target, head[1], body), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=(), body=b"", timeout_s=10.0):
    """One call on a new channel; returns (status, headers, body), status 0 without."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {address}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            lines.append("Connection: close")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store


LENGTH = struct.Struct(">I")
OFFSET = struct.Struct(">Q")


class Partition:
    def __init__(self):
        self.records = []
        self.times = []
        self.newest = {}
        self.producers = {}
        self.free_at = 0.0
        self.grown = asyncio.Event()


class Store:
    """The platform's store with the figures of the sheets.

    Appends of a partition take ``appendMs`` and their bytes at ``partMbS`` one after
    the other. Once 400 MB are stored, appends receive 507. Records are read by offset
    for ``history_s``; after that only the newest of each key is left.
    """

    def __init__(
        self, record, append_ms=4.0, part_mb_s=20.0, full_mb=400, history_s=300.0
    ):
        self.history_s = history_s
        self.record = record
        self.append_s = append_ms / 1000
        self.bytes_per_s = part_mb_s * MB
        self.full = full_mb * MB
        self.stored = 0
        self.partitions = {}
        self.statuses = {}
        self.reads, self.writes = deque(), deque()
        self.server = Server(self._handle)

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes a record of the operator or of an engine; it is acknowledged at once."""
        name = key.encode()
        self._add(topic, self.partition(topic), [bytes([len(name)]) + name + value])

    def _add(self, topic, partition, records):
        first = len(partition.records)
        for record in records:
            if topic.startswith("keyed."):
                size = record[0]
                key = record[1 : 1 + size].decode()
                if len(record) > 1 + size:
                    partition.newest[key] = len(partition.records)
                else:
                    partition.newest.pop(key, None)
            partition.records.append(record)
            partition.times.append(time.monotonic())
            self.stored += len(record) + LENGTH.size
        partition.grown.set()
        partition.grown = asyncio.Event()
        return first

    async def _handle(self, req, writer):
        is_write = req.path == "/api/log-append"
        calls, rate = (self.writes, 800) if is_write else (self.reads, 2000)
        now = time.monotonic()
        while calls and calls[0] < now - 1:
            calls.popleft()
        if len(calls) >= rate:
            self._answer(writer, 429, b"{}")
            return
        calls.append(now)
        if is_write:
            await self._append(req, writer)
        elif req.path == "/api/log-read":
            await self._read(req, writer)
        elif req.path == "/api/log-newest":
            self._newest(req, writer)
        else:
            self._answer(writer, 404, b"{}")

    def _answer(self, writer, status, body, kind="application/json"):
        self.statuses[status] = self.statuses.get(status, 0) + 1
        writer.write(encode_response(status, [("Content-Type", kind)], body))

    def _json(self, writer, status, value):
        self._answer(writer, status, json.dumps(value).encode())

    async def _append(self, req, writer):
        topic, part = req.query["topic"], int(req.query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            self._answer(writer, 403, b"{}")
            return
        records, at = [], 0
        while at < len(req.body):
            (length,) = LENGTH.unpack_from(req.body, at)
            at += LENGTH.size
            records.append(req.body[at : at + length])
            at += length
        if len(req.body) > 2_097_152 or any(len(one) > 262_144 for one in records):
            self._answer(writer, 413, b"{}")
            return
        partition = self.partition(topic, part)
        now = time.monotonic()
        begin = max(now, partition.free_at)
        if begin - now > 2:
            self._answer(writer, 503, b"{}")
            return
        partition.free_at = begin + self.append_s + len(req.body) / self.bytes_per_s
        await asyncio.sleep(partition.free_at - now)
        producer = req.query.get("producer", "")
        epoch, seq = int(req.query.get("epoch", 0)), int(req.query.get("seq", 0))
        known = partition.producers.get(producer)
        if producer:
            if known is None or epoch > known["epoch"]:
                known = {"epoch": epoch, "seq": None, "done": {}}
                partition.producers[producer] = known
            if epoch < known["epoch"]:
                self._json(writer, 409, {"why": "fenced"})
                return
            if seq in known["done"]:
                self._json(writer, 200, known["done"][seq])
                return
            if known["seq"] is not None and seq != known["seq"] + 1:
                self._json(writer, 409, {"why": "seq", "seq": known["seq"] + 1})
                return
        if records and self.stored >= self.full:
            self._answer(writer, 507, b"{}")
            return
        first = self._add(topic, partition, records)
        answer = {"offset": first, "end": len(partition.records)}
        if producer:
            known["seq"] = seq
            known["done"][seq] = answer
            known["done"].pop(seq - 5, None)
        self._json(writer, 200, answer)

    async def _read(self, req, writer):
        partition = self.partition(req.query["topic"], int(req.query["part"]))
        start = int(req.query["from"])
        oldest = time.monotonic() - self.history_s
        first = bisect.bisect_left(partition.times, oldest)
        if start < first:
            self._json(writer, 410, {"first": first})
            return
        until = time.monotonic() + int(req.query.get("waitMs", 0)) / 1000
        while start >= len(partition.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(partition.grown.wait(), left)
            except TimeoutError:
                break
        room = int(req.query.get("maxKb", 1024)) * 1024
        parts = [OFFSET.pack(len(partition.records)), OFFSET.pack(first)]
        for record in partition.records[start:]:
            room -= len(record) + LENGTH.size
            if room < 0 and len(parts) > 2:
                break
            parts.append(LENGTH.pack(len(record)) + record)
        self._answer(writer, 200, b"".join(parts), "application/octet-stream")

    def _newest(self, req, writer):
        partition = self.partition(req.query["topic"], int(req.query["part"]))
        keys = sorted(partition.newest)
        at = bisect.bisect_right(keys, req.query.get("after", ""))
        items, size = [], 0
        for key in keys[at : at + 500]:
            offset = partition.newest[key]
            record = partition.records[offset]
            value = base64.b64encode(record[1 + record[0] :]).decode()
            size += len(key) + len(value)
            if items and size > MB:
                break
            items.append({"key": key, "value": value, "offset": offset})
        answer = {
            "items": items,
            "hasMore": at + len(items) < len(keys),
            "end": len(partition.records),
        }
        self._json(writer, 200, answer)


class Link:
    """A link between two regions: channels to ``target`` share its rate and delay."""

    def __init__(self, target, mbit_s=15.0, delay_s=0.02):
        self.target = target
        self.bytes_per_s = mbit_s * 1e6 / 8
        self.delay_s = delay_s
        self.free_at = {"up": 0.0, "down": 0.0}
        self.passed = {"up": 0, "down": 0}
        self.tasks = set()

    async def listen(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._open, host, 0, backlog=1024)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def _open(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            await asyncio.sleep(2 * self.delay_s)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ways = [
            asyncio.ensure_future(self._pass(reader, far_writer, "up")),
            asyncio.ensure_future(self._pass(far_reader, writer, "down")),
        ]
        try:
            # As soon as one side ends, so does the channel.
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            for way in ways:
                way.cancel()
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pass(self, reader, writer, way):
        waiting = asyncio.Queue(maxsize=8)
        sending = asyncio.ensure_future(self._deliver(waiting, writer))
        try:
            while data := await reader.read(8192):
                now = time.monotonic()
                begin = max(now, self.free_at[way])
                self.free_at[way] = begin + len(data) / self.bytes_per_s
                self.passed[way] += len(data)
                await asyncio.sleep(self.free_at[way] - now)
                await waiting.put((time.monotonic() + self.delay_s, data))
            await waiting.put((time.monotonic() + self.delay_s, None))
            await sending
        except OSError:
            pass
        finally:
            sending.cancel()

    async def _deliver(self, waiting, writer):
        while True:
            at, data = await waiting.get()
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if data is None:
                return
            writer.write(data)
            await writer.drain()


# Engines


class Engine:
    """An engine that streams numbered events, and lists itself in the store.

    ``plan(request, number)`` returns for the run with this number of an id what the
    engine does: ``("events", count, gap_s)`` or ``("status", status, delay_s)``.
    ``before(request, number)`` may return bytes to send at once, before the response.
    """

    def __init__(
        self, record, store, engine_id, service, plan, before=None, slots=8, zone="a"
    ):
        self.record, self.store, self.zone = record, store, zone
        self.id, self.service, self.slots = engine_id, service, slots
        self.plan = plan
        self.before = before or (lambda req, number: b"")
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = {}
        self.answers = {}
        self.count = 0
        self.run_times = []
        self.server = Server(self._handle)

    async def start(self, host="127.0.0.1"):
        await self.server.listen(host)
        self.register()

    def register(self, **changes):
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "serving",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        value = json.dumps(entry | changes).encode()
        self.store.put("keyed.servers", self.id, value)

    def _fields(self, rid):
        load = f"{self.running},0,{self.slots}"
        return [
            ("X-Request-Id", rid),
            ("X-Response-Stamp", f"stamp.{self.id}"),
            ("X-Server-Load", load),
            ("Keep-Alive", "timeout=5"),
        ]

    async def _handle(self, req, writer):
        if req.path in ("/api/report", "/health"):
            body = json.dumps(
                {
                    "stage": "both",
                    "models": [],
                    "busy": False,
                    "seq": 1,
                    "waiting": 0,
                    "running": self.running,
                    "kvUsed": 0,
                    "kvTotal": 72000,
                    "handles": 0,
                    "born": self.born,
                }
            ).encode()
            writer.write(encode_response(200, [("X-Instance-Id", self.id)], body))
            return
        rid = req.headers.get("x-request-id", "")
        if req.headers.get("x-expect-instance", self.id) != self.id:
            self.record("engine_421", engine=self.id, id=rid)
            writer.write(encode_response(421, [("X-Not-Executed", "1")], b""))
            return
        number = self.runs[rid] = self.runs.get(rid, 0) + 1
        self.count += 1
        after = int(req.headers.get("last-event-id", 0))
        self.run_times.append((time.monotonic(), rid))
        self.record("engine_run", engine=self.id, id=rid, run=number, after=after)
        extra = self.before(req, number)
        if extra:
            writer.write(extra)
            await writer.drain()
        self.running += 1
        try:
            await self._run(req, writer, rid, number, after)
        finally:
            self.running -= 1

    async def _run(self, req, writer, rid, number, after):
        kind, value, time_s = self.plan(req, number)
        if kind == "status":
            await asyncio.sleep(time_s)
            answer = encode_response(value, self._fields(rid), b"failed")
            self.answers.setdefault(rid, []).append(value)
            self.record("engine_answered", engine=self.id, id=rid, status=value)
            writer.write(answer)
            await writer.drain()
            return
        head = ["HTTP/1.1 200 OK"]
        head += [f"{name}: {text}" for name, text in self._fields(rid)]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for event in range(after + 1, value + 1):
            if time_s:
                await asyncio.sleep(time_s)
            if writer.transport.is_closing():
                self.record("engine_dropped", engine=self.id, id=rid, event=event)
                raise ConnectionError
            data = f"id: {event}\ndata: w{event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.answers.setdefault(rid, []).append(200)
        self.record("engine_answered", engine=self.id, id=rid, status=200)


# Gateways


SETTINGS = """
nodeName = "edge-{zone}-{number}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{p0},{p1}]
seeds = ["{ip}:{control}"]
bootstrap = {bootstrap}
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
a = "r"
b = "s"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = {memory_mb}
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4.8
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
skewMaxMs = 6000
recoveryS = 12
passMs = 300
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverrun = 0.1
{bounds}
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
retentionS = {history}
partMb = 200
ttlMinMs = 1000
"""


def free_ports(ip, count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Gateway:
    """A gateway process, started with the command of the deploy file.

    With ``memory_mb``, `watch_memory` ends it as the platform does: "A process that
    exceeds `memoryMb` is killed". What counts here is only its anonymous memory.
    """

    def __init__(
        self,
        record,
        folder,
        store,
        number,
        memory_mb=330,
        zone="a",
        region="r",
        store_address="",
        bounds="",
    ):
        self.record, self.folder, self.store = record, Path(folder), store
        self.zone, self.region, self.bounds = zone, region, bounds
        self.store_address = store_address or store.server.address
        self.number, self.memory_mb = number, memory_mb
        self.ip = f"127.0.11.{number}"
        ports = free_ports(self.ip, 5)
        self.front = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        self.ports = ports
        self.peak_mb = 0.0
        self.ends = []
        self.is_wanted = True
        self.process = None
        self.starts = 0

    async def start(self):
        self.starts += 1
        path = self.folder / f"gateway-{self.number}.toml"
        path.write_text(
            SETTINGS.format(
                zone=self.zone,
                region=self.region,
                history=int(self.store.history_s),
                number=self.number,
                ip=self.ip,
                front=self.ports[0],
                ready=self.ports[1],
                control=self.ports[2],
                p0=self.ports[3],
                p1=self.ports[3] + 1,
                store=self.store_address,
                bounds=self.bounds,
                memory_mb=self.memory_mb,
                bootstrap="true" if self.starts == 1 else "false",
            )
        )
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = shlex.split(roles["entry"][RUN])
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["POMELOSHIFT_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self.folder / f"gateway-{self.number}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.record("gateway_started", number=self.number, pid=self.process.pid)

    async def until_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status, _, _ = await call(self.ready, "GET", "/api/ready", timeout_s=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def memory(self):
        """The anonymous memory of the process in MB, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line for line in text.splitlines() if line.startswith("RssAnon")]
        return int(sizes[0].split()[1]) * 1024 / MB if sizes else 0.0

    async def watch_memory(self, restart_s=0.5):
        """Kills the process over its limit, and restarts it after a short delay."""
        while self.is_wanted:
            if self.process.returncode is not None:
                self.record("gateway_ended", number=self.number)
                self.ends.append(time.monotonic())
                await asyncio.sleep(restart_s)
                if self.is_wanted:
                    await self.start()
            size = self.memory()
            self.peak_mb = max(self.peak_mb, size)
            if size > self.memory_mb:
                self.record(
                    "gateway_over_memory",
                    number=self.number,
                    mb=round(size, 1),
                    limit=self.memory_mb,
                )
                self.process.kill()
                await self.process.wait()
            await asyncio.sleep(0.05)

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        self.is_wanted = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


# Configuration and jobs


HOST = "app.example"


def route(name, kind, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000 if kind != "batch" else 15000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 3 if kind == "batch" else 1,
        "sticky": True,
        "resumable": kind == "batch",
        "gapAimMs": 250,
    } | changes


def batch_route(name, service, cap, **changes):
    fields = {"runDeadlineMs": 18000, "retentionS": 60, "cap": cap, "priority": 2}
    return route(name, "batch", service, **fields | changes)


def configuration(version, routes, services, **fields):
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "connLimit": 360}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        | fields
    ).encode()


def item(job_id, number, prefix, body=b"prompt", tokens=540, **headers):
    return {
        "id": f"{job_id}-{number}",
        "path": f"/{prefix}/{job_id}/{number}",
        "headers": {"X-Model": "m", "X-Token-Count": "140,400"} | headers,
        "body": base64.b64encode(body).decode(),
        "tokens": tokens,
    }


async def submit(gateway, job_id, prefix, items, timeout_s=5.5):
    body = json.dumps({"items": items}).encode()
    fields = [("Host", HOST), ("X-Request-Id", job_id)]
    fields.append(("Content-Type", "application/json"))
    target = f"/{prefix}/{job_id}"
    status, _, _ = await call(gateway.front, "POST", target, fields, body, timeout_s)
    return status


async def read_results(gateway, job_id, after=0, timeout_s=3.0):
    target = f"/api/lots/{job_id}?after={after}"
    status, _, body = await call(
        gateway.front, "GET", target, [("Host", HOST)], b"", timeout_s
    )
    return status, json.loads(body) if status == 200 else None


async def end_job(gateway, job_id, timeout_s=5.0):
    target = f"/api/lots/{job_id}"
    status, _, _ = await call(
        gateway.front, "DELETE", target, [("Host", HOST)], b"", timeout_s
    )
    return status


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play, limit_s=115.0):
    """Runs ``play(record, temporary_folder, started)`` and exits with its verdict.

    ``play`` returns True if the rule held, False if it was broken, and raises if the
    case could not run. ``started`` collects what has to be stopped.
    """
    record = Record(folder)

    async def run():
        started = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    play(record, temporary, started), limit_s
                )
            finally:
                for one in started:
                    await one.stop()

    try:
        holds = asyncio.run(run())
    except Exception as exc:
        record("not_run", why=repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    record("verdict", holds=holds)
    print("the rule held" if holds else "the rule was broken")
    sys.exit(0 if holds else 1)
