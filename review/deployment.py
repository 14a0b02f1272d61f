"""A small deployment for the scripts of this review.

It starts gateways with the command of the deploy file, as processes of their own, on
loopback addresses, beside small stand-ins for the platform's store and the engines.
The stand-ins run in the calling process and use the standard library only.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import unquote_plus

ROOT = Path(__file__).resolve().parents[1]
# The command of deploy/system.toml; its build puts the libraries into target/deps.
COMMAND = ["python3", "deploy/launch.py"]
# Scripts that run at the same time use different addresses of the loopback range.
NET = 1 + os.getpid() % 250
SERVICE = "assist"
# Closing a socket resets its connection.
NO_LINGER = struct.pack("ii", 1, 0)
HOST = "nony24.example"

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peer}, {last}]
seeds = []
bootstrap = true
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = {memory_mb}
maxFds = 8200
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 8
configApplyMs = 2500
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverrun = 0.1
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
recordBytes = 262144
callBytes = 2097152
retentionS = 20
"""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since its start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self._began:8.3f}  {text}"
        print(line, file=self._file, flush=True)

    @property
    def now(self):
        return time.monotonic() - self._began


class Request:
    """A request that a server has read; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.target = target
        self.path, _, query = target.partition("?")
        pairs = (part.partition("=") for part in query.split("&") if part)
        self.query = {key: unquote_plus(value) for key, _, value in pairs}


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=(), body=b"", close=False):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """An HTTP/1.1 server; `handle` answers one request on a writer.

    It resets channels beyond ``max_channels``, and closes one that is idle for
    ``idle_s`` seconds.
    """

    max_channels = 4096
    idle_s = None

    def __init__(self):
        self.address = ""
        self.resets = 0
        self._server = None
        self._writers = set()

    async def listen(self, host="127.0.0.1"):
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=8 * 2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    @property
    def channels(self):
        """The number of open channels."""
        return len(self._writers)

    async def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if len(self._writers) >= self.max_channels:
            self.resets += 1
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(read_message(reader), self.idle_s)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                req = Request(method, target, headers, body)
                await self.handle(req, writer, reader)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.TimeoutError:
            return
        except asyncio.CancelledError:
            # The script has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store(Server):
    """The platform's store as PROTOCOL.md describes it, as far as gateways use it.

    ``answer_s`` is the time of an answer. Appends of a partition take it in turn.
    ``max_bytes`` is how much it stores in total; only the newest record of each key
    counts, the records that may expire do not.
    """

    def __init__(self, answer_s=0.004, max_bytes=400 * 2**20):
        super().__init__()
        self.answer_s, self.max_bytes = answer_s, max_bytes
        self.stored, self.sizes = 0, {}
        self.parts = {}
        self.producers = {}
        self.locks = {}
        self.changed = asyncio.Condition()
        self.appends = []

    def records(self, topic, part="0"):
        return self.parts.setdefault((topic, part), [])

    async def put(self, topic, key, value):
        """Appends a record, as the operator and the engines do."""
        self.records(topic).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, req, writer, reader):
        call = req.path.rpartition("/")[2]
        handler = getattr(self, "do_" + call.replace("-", "_"), None)
        if handler is None:
            writer.write(response(404))
            return
        await handler(req, writer)

    async def do_log_append(self, req, writer):
        query = req.query
        place = (query["topic"], query["part"])
        async with self.locks.setdefault(place, asyncio.Lock()):
            await asyncio.sleep(self.answer_s)
            status, body = self._append(place, query, req.body)
        self.appends.append((time.monotonic(), query["topic"], len(req.body), status))
        async with self.changed:
            self.changed.notify_all()
        writer.write(response(status, (), json.dumps(body).encode()))

    def _append(self, place, query, body):
        records = _split(body)
        if len(body) > 2097152 or any(len(r) > 262144 for r in records):
            return 400, {}
        held = self.records(*place)
        if self.stored >= self.max_bytes:
            return 507, {}
        if "producer" not in query:
            return self._add(place, held, records)
        name = (*place, query["producer"])
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known = self.producers.get(name)
        if known is None or epoch > known["epoch"]:
            known = {"epoch": epoch, "last": seq - 1, "kept": {}}
            self.producers[name] = known
        if epoch < known["epoch"]:
            return 409, {"why": "fenced"}
        if seq in known["kept"]:
            return known["kept"][seq]
        if seq != known["last"] + 1:
            return 409, {"why": "seq", "seq": known["last"] + 1}
        known["last"] = seq
        known["kept"][seq] = result = self._add(place, held, records)
        known["kept"].pop(seq - 5, None)
        return result

    def _add(self, place, held, records):
        offset = len(held)
        for record in records:
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            held.append((key, value))
            known = self.sizes.pop((place, key), 0)
            if value:
                self.sizes[place, key] = len(record)
            self.stored += self.sizes.get((place, key), 0) - known
        return 200, {"offset": offset, "end": len(held)}

    async def do_log_read(self, req, writer):
        query = req.query
        held = self.records(query["topic"], query["part"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        await asyncio.sleep(self.answer_s)
        while len(held) <= start and time.monotonic() < until:
            async with self.changed:
                try:
                    left = until - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(0.001, left))
                except asyncio.TimeoutError:
                    pass
        limit = int(query.get("maxKb", 1024)) * 1024
        out = [struct.pack(">QQ", len(held), 0)]
        for key, value in held[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            limit -= len(content) + 4
            if limit < 0 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        writer.write(response(200, (), b"".join(out)))

    async def do_log_newest(self, req, writer):
        query = req.query
        await asyncio.sleep(self.answer_s)
        held = self.records(query["topic"], query["part"])
        newest = {}
        for offset, (key, value) in enumerate(held):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys:
            offset, value = newest[key]
            text = base64.b64encode(value).decode()
            size += len(text) + len(key)
            if items and (len(items) == 500 or size > 2**20):
                break
            items.append({"key": key, "value": text, "offset": offset})
        body = {"items": items, "hasMore": len(items) < len(keys), "end": len(held)}
        writer.write(response(200, (), json.dumps(body).encode()))


def _split(body):
    records, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        records.append(body[at + 4 : at + 4 + size])
        at += 4 + size
    return records


class Engine(Server):
    """A model engine with ``slots`` slots that streams numbered events.

    ``runs`` holds the id, the target and the body of each request that it began to
    run, ``done`` the ids of those that it has completed, with the times, and ``active``
    the ids of those that run now.
    """

    def __init__(self, name, zone, record, events=40, gap_s=0.01, slots=8):
        super().__init__()
        self.name, self.zone, self.record = name, zone, record
        self.events, self.gap_s, self.slots = events, gap_s, slots
        self.born = int(time.time() * 1000)
        self.runs, self.done, self.active = [], [], []
        self._free = asyncio.Semaphore(slots)

    def entry(self, seq):
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "serving",
            "coldLeftMs": 0,
            "born": self.born,
            "seq": seq,
        }

    async def beat(self, store):
        """Registers in the store, again about every 1.2 s."""
        seq = 0
        while True:
            seq += 1
            entry = json.dumps(self.entry(seq)).encode()
            await store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(1.2)

    async def handle(self, req, writer, reader):
        if req.path == "/api/report":
            body = {"waiting": 0, "running": len(self.active), "born": self.born}
            writer.write(response(200, (), json.dumps(body).encode()))
            return
        request_id = req.headers.get("x-request-id", "")
        echo = [("X-Request-Id", request_id)]
        if req.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, [("X-Instance-Id", self.name)]))
            return
        async with self._free:
            self.active.append(request_id)
            try:
                await self.run(req, request_id, echo, writer, reader)
            finally:
                self.active.remove(request_id)

    async def run(self, req, request_id, echo, writer, reader):
        first = int(req.headers.get("last-event-id", 0)) + 1
        self.runs.append((request_id, req.target, req.body))
        self.record.note(
            f"{self.name} runs {request_id} {req.target} from event {first}"
        )
        load = f"{len(self.active)},0,{self.slots}"
        head = [
            *echo,
            ("X-Response-Stamp", f"{self.name}.{len(self.runs)}"),
            ("X-Server-Load", load),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head)]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if writer.transport.is_closing() or reader.at_eof():
                self.record.note(f"{self.name} ends {request_id}: its channel closed")
                raise ConnectionError
            data = b"id: %d\ndata: %s\n\n" % (number, self.text(request_id, number))
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.done.append((time.monotonic(), request_id))
        self.record.note(f"{self.name} has completed {request_id}")

    @staticmethod
    def text(request_id, number):
        return f"{request_id}-{number}".encode()

    def whole_text(self, request_id):
        return b"\n".join(self.text(request_id, n) for n in range(1, self.events + 1))


class Link:
    """A TCP relay to an address with a delay and a bandwidth, shared by all channels.

    ``mbps`` is the bandwidth each way in Mbit/s, None for no limit.
    """

    def __init__(self, target, delay_s=0.0, mbps=None):
        self.target, self.delay_s, self.mbps = target, delay_s, mbps
        self.address = ""
        self.sent = [0, 0]
        # When the bandwidth of each way is free again; monotonic seconds.
        self._free_at = [0.0, 0.0]
        self._server = None

    async def listen(self, host="127.0.0.1"):
        # Small windows, as DEPLOY.md says of links: what waits at a link is little.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.bind((host, 0))
        self._server = await asyncio.start_server(self._relay, sock=sock, limit=65536)
        self.address = f"{host}:{sock.getsockname()[1]}"

    async def close(self):
        self._server.close()

    async def _relay(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port), limit=65536
            )
        except ConnectionError:
            writer.transport.abort()
            return
        tasks = [
            asyncio.create_task(self._pass(reader, far_writer, 0)),
            asyncio.create_task(self._pass(far_reader, writer, 1)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The script has ended.
            pass
        for task in tasks:
            task.cancel()
        writer.transport.abort()
        far_writer.transport.abort()

    async def _pass(self, reader, writer, way):
        queue = asyncio.Queue(64)
        sender = asyncio.create_task(self._deliver(queue, writer))
        try:
            while data := await reader.read(8192):
                if self.mbps is not None:
                    # A channel has one piece waiting, so that all share the bandwidth.
                    now = time.monotonic()
                    sent_at = max(now, self._free_at[way])
                    sent_at += len(data) * 8 / (self.mbps * 1e6)
                    self._free_at[way] = sent_at
                    await asyncio.sleep(sent_at - now)
                self.sent[way] += len(data)
                await queue.put((time.monotonic() + self.delay_s, data))
            await queue.put((time.monotonic() + self.delay_s, b""))
            await sender
        except ConnectionError:
            pass
        finally:
            sender.cancel()

    async def _deliver(self, queue, writer):
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if not data:
                return
            writer.write(data)
            await writer.drain()


def free_ports(ip, count):
    """Returns ports that are free for TCP and UDP now."""
    socks = []
    while len(socks) < 2 * count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        udp = socket.socket(type=socket.SOCK_DGRAM)
        try:
            udp.bind((ip, tcp.getsockname()[1]))
        except OSError:
            continue
        socks += [tcp, udp]
    ports = [sock.getsockname()[1] for sock in socks[::2]]
    for sock in socks:
        sock.close()
    return ports


class Gateway:
    """A gateway process."""

    def __init__(self, folder, number, store, zone, regions, memory_mb=170):
        self.ip = f"127.{NET}.{number}.1"
        front, ready, peer = free_ports(self.ip, 3)
        self.name = f"edge-{zone}-{number}"
        self.front, self.ready = f"{self.ip}:{front}", f"{self.ip}:{ready}"
        self.settings = Path(folder) / f"{self.name}.toml"
        self.log = Path(folder) / f"{self.name}.log"
        zones = "\n".join(f'{key} = "{value}"' for key, value in regions.items())
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                region=regions[zone],
                zones=zones,
                front=front,
                ready=ready,
                peer=peer,
                last=peer + 1,
                memory_mb=memory_mb,
                store=store,
            )
        )
        self.process = None

    async def start(self):
        env = {
            **{key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "POMELOSHIFT_CONFIG": str(self.settings),
        }
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status, _, _ = await call(self.ready, "GET", "/api/ready", timeout_s=2.0)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(address, method, target, headers=(), body=b"", timeout_s=4.0):
    """Makes a call on a channel of its own; returns status, headers and body.

    The status is 0 if there is no complete response.
    """
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=8 * 2**20)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {HOST}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, {}, b""
    line, fields, content = message
    return int(line.split(" ")[1]), fields, content


def job_body(job_id, bodies, prefix="/batch/", tokens=600, headers=()):
    """Returns the body of a batch job whose items have these bodies."""
    items = [
        {
            "id": f"{job_id}{number:04x}",
            "path": f"{prefix}{number}",
            "headers": {"X-Model": "m", "X-Token-Count": "350,250", **dict(headers)},
            "body": base64.b64encode(body).decode(),
            "tokens": tokens,
        }
        for number, body in enumerate(bodies)
    ]
    return json.dumps({"items": items}).encode()


async def submit(address, job_id, body, path="/batch/j", timeout_s=4.0):
    headers = [("X-Request-Id", job_id), ("Content-Type", "application/json")]
    status, _, _ = await call(address, "POST", path, headers, body, timeout_s)
    return status


async def read_results(address, job_id):
    """Returns all results of a job, or None if they cannot be read."""
    results = []
    while True:
        target = f"/api/lots/{job_id}?after={len(results)}"
        status, _, body = await call(address, "GET", target)
        if status != 200:
            return None
        page = json.loads(body)
        results += page["results"]
        if not page["results"] or len(results) >= page["total"]:
            return results


def route(prefix, kind, **fields):
    """Returns a route of the service for tests."""
    row = {
        "name": "r" + prefix.strip("/").replace("/", "-"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 2,
    }
    return {**row, **fields}


def batch_route(prefix="/batch/", **fields):
    chosen = {
        "priority": 2,
        "maxAttempts": 3,
        "resumable": True,
        "gapAimMs": 250,
        "runDeadlineMs": 18000,
        "retentionS": 60,
        "cap": 1900000,
    }
    return route(prefix, "batch", **{**chosen, **fields})


def config(routes, version=1):
    """Returns the operator's configuration."""
    engine = {"slots": 8, "kvCapacity": 72000, "models": [{"name": "m"}]}
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "connLimit": 360,
        "protocol": "h1",
        "engine": engine,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return json.dumps(
        {"version": version, "routes": routes, "services": [service], "limits": limits}
    ).encode()


def main(play, folder):
    """Runs a case and exits with 0, 1 or 2; ``play`` returns whether the rule held.

    ``play`` is called with the record, a temporary folder and whether the disruption
    is brought about.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the gateways also if the script is ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(Path(folder) / "record.txt")
    record.note(f"begins, trouble={int(trouble)}")

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(play(record, scratch, trouble), 118)
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(scratch).glob("*.log"):
                        Path(keep, path.name).write_bytes(path.read_bytes())

    try:
        held = asyncio.run(run())
    except Exception as exc:
        record.note(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        raise SystemExit(2) from exc
    verdict = "could not run" if held is None else "held" if held else "broken"
    record.note(f"the rule: {verdict}")
    print(f"the rule: {verdict}")
    raise SystemExit(2 if held is None else 0 if held else 1)
