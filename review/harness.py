"""Stand-ins and helpers that the scripts of the review share.

The store, the engines and the clients follow the users' pages and use only the standard
library. Gateways are separate processes, started with the command of the deploy file.
All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "night.example"
SERVICE = "line-lm"
# Loopback addresses of this run, so that cases can run side by side.
NET = f"127.{64 + os.getpid() // 250 % 64}.{1 + os.getpid() % 250}"
STORE_IP = f"{NET}.1"
ENGINE_IP = f"{NET}.2"

# Channels that an engine accepts from all callers, and how long one may be idle.
CONN_LIMIT = 370
IDLE_S = 15

# How an engine that is full answers, as `fleetbench wire` prints it.
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)

# Bounds as on the sheet of the Vezi installation.
BOUNDS = """
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4.7
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
"""

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internalPorts = [{internal}, {internal_last}]
seeds = []
bootstrap = true
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform"]
[zones]
a = "r1"
b = "r1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 330
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
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
retentionS = 300
partMb = 200
ttlMinMs = 1000
"""


class ClosedError(Exception):
    """A channel ended without a complete response."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()

    def now(self):
        """Returns the seconds since the script began."""
        return time.monotonic() - self._began


async def _read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def _reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


def _response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Server:
    """An HTTP/1.1 server that answers one request after another on each channel.

    Channels beyond ``conn_limit`` are reset, and idle ones are closed after ``idle_s``.
    """

    conn_limit = 10_000
    idle_s = None

    def __init__(self):
        self.address = ""
        self.resets = 0
        self._server = None
        self._tasks = set()

    async def listen(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port, limit=2**23)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def open_channels(self):
        """The number of open channels."""
        return len(self._tasks)

    async def _serve(self, reader, writer):
        if len(self._tasks) >= self.conn_limit:
            self.resets += 1
            _reset(writer)
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                async with asyncio.timeout(self.idle_s):
                    first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await _read_body(reader, headers)
                await self.handle(method, target, headers, body, reader, writer)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            TimeoutError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


class Store(_Server):
    """The platform's store: appends, long polls and the newest record of each key."""

    def __init__(self):
        super().__init__()
        self._parts = {}
        self._producers = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a keyed record, as the operator or an engine does."""
        name = key.encode()
        self._add((topic, 0), [bytes([len(name)]) + name + value])

    def _add(self, part, records):
        log = self._parts.setdefault(part, [])
        first = len(log)
        log += records
        self._changed.set()
        self._changed = asyncio.Event()
        return {"offset": first, "end": len(log)}

    async def handle(self, method, target, headers, body, reader, writer):
        url = urlsplit(target)
        part, query = self.parse(target)
        if url.path == "/api/log-append":
            await asyncio.sleep(0.004)
            status, answer = self._append(part, query, body)
            writer.write(_json_response(status, answer))
        elif url.path == "/api/log-read":
            writer.write(_response(200, [], await self._read(part, query)))
        elif url.path == "/api/log-newest":
            writer.write(_json_response(200, self._newest(part, query)))
        else:
            writer.write(_response(404, [], b""))
        await writer.drain()

    @staticmethod
    def parse(target):
        """Returns the topic and partition of a call, and its whole query."""
        query = parse_qs(urlsplit(target).query)
        query = {key: values[0] for key, values in query.items()}
        return (query.get("topic", ""), int(query.get("part", 0))), query

    def is_repeat(self, part, query):
        """Whether an append is one of its producer's last five."""
        known = self._producers.get((part, query.get("producer")), {})
        return int(query.get("seq", -1)) in known.get("answers", {})

    def _append(self, part, query, body):
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if "producer" not in query:
            return 200, self._add(part, records)
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known = self._producers.setdefault((part, query["producer"]), {"epoch": -1})
        if epoch < known["epoch"]:
            return 409, {"why": "fenced"}
        if epoch > known["epoch"]:
            known.update(epoch=epoch, next=seq, answers={})
        if seq in known["answers"]:
            return 200, known["answers"][seq]
        if seq != known["next"]:
            return 409, {"why": "seq", "seq": known["next"]}
        known["next"] = seq + 1
        answer = known["answers"][seq] = self._add(part, records)
        known["answers"].pop(seq - 5, None)
        return 200, answer

    async def _read(self, part, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(self._parts.get(part, [])) <= start:
            rest = until - time.monotonic()
            if rest <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), rest)
        log = self._parts.get(part, [])
        room = int(query.get("maxKb", 1024)) * 1024
        parts = [struct.pack(">QQ", len(log), 0)]
        for record in log[start:]:
            room -= len(record)
            if room < 0 and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(record)) + record)
        return b"".join(parts)

    def _newest(self, part, query):
        log = self._parts.get(part, [])
        newest = {}
        for offset, record in enumerate(log):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            newest[key] = (offset, value)
        after = query.get("after", "")
        rows = sorted((k, *v) for k, v in newest.items() if v[1] and k > after)
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, o, v in rows[:500]
        ]
        return {"items": items, "hasMore": len(rows) > 500, "end": len(log)}


def _json_response(status, answer):
    fields = [("Content-Type", "application/json")]
    return _response(status, fields, json.dumps(answer).encode())


class Engine(_Server):
    """A sound model engine: streams numbered events and can resume.

    It accepts `CONN_LIMIT` channels and closes those that are idle for `IDLE_S`.

    ``events`` is the length of a whole run and ``gap_s`` the time between two events.
    ``runs`` lists the ids of the requests that it ran. ``before_run``, if set, may
    answer a request in place of the run: it returns whether it did.
    """

    def __init__(self, record, name, slots=8, events=40, gap_s=0.02):
        super().__init__()
        self.conn_limit = CONN_LIMIT
        self.idle_s = IDLE_S
        self.name = name
        self.slots = slots
        self.events = events
        self.gap_s = gap_s
        self.born = int(time.time() * 1000)
        self.runs = []
        self.running = 0
        self.before_run = None
        self.record = record

    def entry(self, zone, state):
        """Returns what the engine says of itself in the store."""
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }

    def register(self, store, zone="a", state="serving"):
        """Writes the engine's entry."""
        entry = json.dumps(self.entry(zone, state)).encode()
        store.put("keyed.servers", self.name, entry)

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/api/report":
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 1,
                "born": self.born,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
            }
            writer.write(_json_response(200, report))
            await writer.drain()
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(_response(421, [("X-Instance-Id", self.name)], b""))
            await writer.drain()
            return
        request_id = headers.get("x-request-id", "")
        fields = [
            ("X-Request-Id", request_id),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", f"timeout={IDLE_S}"),
        ]
        if self.running >= self.slots:
            self.record(f"engine {self.name} is full and does not run {request_id}")
            writer.write(REJECTION)
            await writer.drain()
            return
        if self.before_run and await self.before_run(
            request_id, headers, fields, reader, writer
        ):
            return
        self.runs.append(request_id)
        after = int(headers.get("last-event-id", 0))
        self.record(f"engine {self.name} runs {request_id} after event {after}")
        self.running += 1
        try:
            await self._stream(fields, after, reader, writer)
        finally:
            self.running -= 1

    async def _stream(self, fields, after, reader, writer):
        fields = [
            *fields,
            ("X-Response-Stamp", f"stamp.{self.name}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
        writer.write(head.encode() + b"\r\n")
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: word{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def whole_text(events):
    """Returns the text of a whole run."""
    return "\n".join(f"word{number}" for number in range(1, events + 1))


class Gateway:
    """One machine of the system: a process of the deploy file's role."""

    def __init__(self, record, folder, name, ip, zone, store):
        self.record = record
        self.name = name
        self.ip = ip
        ports = _free_ports(ip, 5)
        self.front = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                internal=ports[3],
                internal_last=ports[4],
                front=ports[0],
                ready=ports[1],
                control=ports[2],
                bounds=BOUNDS,
                store=store,
            )
        )
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["POMELOSHIFT_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record(f"{self.name} starts")

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/api/ready", timeout_s=1.0)
        except (ClosedError, TimeoutError):
            return False
        return status == 200

    async def until_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                print(self._log.read_text()[-2000:], file=sys.stderr)
                raise CannotRunError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)
        self.record(f"{self.name} is ready")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def log_text(self):
        return self._log.read_text()


class CannotRunError(Exception):
    """The case cannot run here."""


def gateway_ip(number):
    """Returns the address of the gateway with a number from 0."""
    return f"{NET}.{10 + number}"


def _free_ports(ip, count):
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]


async def call(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Sends one request on a new channel; returns the status, headers and body.

    Raises `ClosedError` if the channel ends before a complete response.
    """
    ip, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    fields = dict(headers)
    fields.setdefault("Host", HOST)
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    async with asyncio.timeout(timeout_s):
        try:
            reader, writer = await asyncio.open_connection(ip, int(port), limit=2**23)
        except OSError as exc:
            raise ClosedError(f"no connection: {exc}") from exc
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, answer = await _read_head(reader)
            status = int(first.split(" ")[1])
            return status, answer, await _read_body(reader, answer)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            raise ClosedError(f"the channel ended: {type(exc).__name__}") from exc
        finally:
            writer.transport.abort()


def route(name, kind, **fields):
    """Returns a route of the operator's configuration."""
    plain = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": SERVICE,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "priority": 0,
        "maxAttempts": 2,
        "sticky": True,
    }
    if kind == "streaming":
        plain.update(resumable=True, gapAimMs=200)
    if kind == "batch":
        plain.update(
            targetLatencyMs=400,
            timeoutMs=15000,
            runDeadlineMs=18000,
            retentionS=60,
            maxAttempts=3,
            priority=2,
            cap=1400000,
        )
    return {**plain, **fields}


def publish(store, record, version, routes):
    """Writes a configuration; the store's answer is its ack."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": SERVICE, "healthPath": "/health", "connLimit": CONN_LIMIT}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    store.put("keyed.op", "config", json.dumps(document).encode())
    names = ", ".join(one["pathPrefix"] for one in routes)
    record(f"the operator's version {version} is acknowledged; routes: {names}")


def job(prefix, job_id, count, tokens=940):
    """Returns the body of a batch job."""
    items = [
        {
            "id": f"{job_id}i{number:02d}",
            "path": f"{prefix}{job_id}/{number}",
            "headers": {
                "X-Model": "m",
                "X-Token-Count": "540,400",
                "X-Prompt-Prefix": f"9c2e41:300,{job_id}{number:02d}:240",
            },
            "body": base64.b64encode(f"item {number} of {job_id}".encode()).decode(),
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return json.dumps({"items": items}).encode()


async def submit(record, gateway, path, job_id, body):
    """Hands in a batch job and returns the status."""
    fields = {"X-Request-Id": job_id, "Content-Type": "application/json"}
    status, _, _ = await call(gateway.front, "POST", path, body, fields)
    record(f"batch job {job_id} sent to {gateway.name}: {status}")
    return status


async def read_job(gateway, job_id, after=0, wait_ms=0):
    """Reads results; returns the status and the decoded body, if any."""
    fields = {"X-Wait-Ms": str(wait_ms)} if wait_ms else {}
    target = f"/api/lots/{job_id}?after={after}"
    status, _, body = await call(gateway.front, "GET", target, headers=fields)
    return status, json.loads(body) if status == 200 else None


def play(case_file, scenario):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (could not run).

    ``scenario`` is a coroutine function of a `Record`, a temporary folder, whether the
    disruption happens, and a list of things to stop. It returns the breaks of the rule.
    """
    folder = pathlib.Path(case_file).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        record = Record(folder)
        record(f"disruption: {'yes' if has_trouble else 'no'}")
        started = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(115):
                    breaks = await scenario(
                        record, pathlib.Path(temporary), has_trouble, started
                    )
            finally:
                for one in reversed(started):
                    await one.stop()
        for one in breaks:
            record(f"BROKEN {one}")
            print(f"BROKEN {one}")
        record(f"result: {'broken' if breaks else 'held'}")
        return 1 if breaks else 0

    try:
        code = asyncio.run(run())
    except Exception as exc:  # Whatever keeps the case from running is no verdict.
        print(f"cannot run: {type(exc).__name__}: {exc}", file=sys.stderr)
        code = 2
    sys.exit(code)
