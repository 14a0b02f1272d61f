"""A deployment on the platform: stand-ins and gateways on loopback addresses."""

import base64
from functools import partial
from random import Random

import attrs
import msgspec
from twisted.internet.task import deferLater

from pomeloshift.gateway._gateway import Gateway
from pomeloshift.http1 import (
    Client,
    ConnectionPool,
    Headers,
    PoolConfig,
    RequestHead,
)
from pomeloshift.jobs import ItemProgress
from pomeloshift.net import SystemClock
from pomeloshift.platform import parse_platform_settings
from pomeloshift.standins.platform import Behaviour, EngineServer, StoreServer

HOST = "app.example"
SERVICE = "lm"
CALL_TIMEOUT_S = 20.0  # far longer than any call takes

ROUTES = {
    "resumable": {"kind": "streaming", "resumable": True, "maxAttempts": 2},
    "once": {"kind": "streaming", "maxAttempts": 1},
    "plain": {"kind": "idempotent", "maxAttempts": 2},
    "unsafe": {"kind": "non_idempotent", "maxAttempts": 1},
    "jobs": {
        "kind": "batch",
        "maxAttempts": 2,
        "runDeadlineMs": 18000,
        "retentionS": 120,
        "cap": 100_000,
    },
}


def route(name, **changes):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": SERVICE,
        "timeoutMs": 8000,
        "targetLatencyMs": 2000,
        "priority": 0,
        "sticky": True,
        **ROUTES.get(name, {}),
        **changes,
    }


def config(version=1, routes=(), **fields):
    return msgspec.json.encode(
        {
            "version": version,
            "routes": list(routes) or [route(name) for name in ROUTES],
            "services": [{"name": SERVICE, "healthPath": "/health", "connLimit": 9}],
            "limits": {},
            **fields,
        }
    )


def workspace(name, *keys, **fields):
    """A workspace of a configuration, as in ``config(tenants=[...])``."""
    return {"name": name, "apiKeys": list(keys), **fields}


def settings_table(store, ip="127.0.0.1", port=0, **bounds):
    """The settings of an instance, in the form of the platform's file."""
    return {
        "nodeName": f"edge-{ip}",
        "ip": ip,
        "zone": "a",
        "region": "r",
        "internalPorts": [port, port],
        "zones": {"a": "r"},
        "listen": {"front": f"{ip}:{port + 1}", "ready": f"{ip}:{port + 2}"},
        "limits": {"maxFds": 1024, "memoryMb": 128},
        "bounds": {"graceS": 8, **bounds},
        "platform": {
            "address": store,
            "writesPerS": 4000,
            "readsPerS": 4000,
            "recordBytes": 4096,
            "callBytes": 65536,
        },
        "unheardOf": {"a": 1},
    }


class Deployment:
    """Starts and stops stand-ins and gateways in the test's process.

    ``settings`` holds changes of the gateways' settings, by section.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.clock = SystemClock()
        self.store = StoreServer(reactor, self.clock)
        self.store_address = self.store.listen()
        self.engines = []
        self.gateways = []
        self.settings = {}
        self.pool = ConnectionPool(reactor, self.clock, PoolConfig())
        self.client = Client(self.pool, self.clock)
        self.publish(config())

    def publish(self, document):
        self.store.state.put("keyed.op", "config", document)

    def add_engine(self, **fields):
        engine = EngineServer(self.reactor, self.clock, f"i-{len(self.engines)}")
        engine.address = engine.listen()
        self.register(engine, **fields)
        self.engines.append(engine)
        return engine

    def register(self, engine, service=SERVICE, **fields):
        record = engine.record(engine.address, service, **fields)
        self.store.state.put("keyed.servers", engine.id, record)

    def add_crashing_engines(self, count, body=None, **behaviour):
        """Adds engines that a request with this body or part crashes for good."""
        for _ in range(count):
            engine = self.add_engine()
            engine.behaviour = Behaviour(crash_body=body, **behaviour)
            engine.on_crash = partial(self.deregister, engine)

    def deregister(self, engine):
        self.store.state.put("keyed.servers", engine.id, b"")

    def runs_of(self, body):
        """The number of requests with this body that reached engines."""
        return sum(
            seen.body == body for engine in self.engines for seen in engine.requests
        )

    def runs_with(self, part):
        """The number of requests with this prompt part that reached engines."""
        return sum(
            f"{part}:" in seen.headers.get("x-prompt-prefix", "")
            for engine in self.engines
            for seen in engine.requests
        )

    async def add_gateway(self, **bounds):
        ip = f"127.0.0.{len(self.gateways) + 1}"
        table = settings_table(self.store_address, ip, 20000, **bounds)
        for section, changes in self.settings.items():
            table[section] |= changes
        settings = parse_platform_settings(table)
        settings = attrs.evolve(
            settings,
            caller_address=f"{ip}:0",
            ready_address=f"{ip}:0",
            internal_ports=(0, 0),
        )
        gateway = Gateway(
            settings, self.reactor, self.clock, Random(len(ip)), metrics_port=0
        )
        await gateway.start()
        self.gateways.append(gateway)
        await self.until_ready(gateway)
        return gateway

    async def until_ready(self, gateway):
        while True:
            head = RequestHead(b"GET", b"/api/ready", Headers([(b"Host", b"x")]))
            resp = await self.client.call(
                gateway.ready_address, head, b"", CALL_TIMEOUT_S
            )
            if resp.status == 200:
                return
            await self.pause(0.01)

    def pause(self, seconds):
        return deferLater(self.reactor, seconds, lambda: None)

    def call(self, gateway, method, target, body=b"", request_id="r1", **headers):
        fields = [(b"Host", HOST.encode()), (b"X-Request-Id", request_id.encode())]
        fields += [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in headers.items()
        ]
        head = RequestHead(method.encode(), target.encode(), Headers(fields))
        return self.client.call(gateway.caller_address, head, body, CALL_TIMEOUT_S)

    def submit(self, gateway, job_id, bodies, tokens=10, prompts=()):
        body = job(bodies, tokens, prompts)
        return self.call(gateway, "POST", "/jobs/new", body, job_id)

    async def store_progress(self, gateway, job_id, events, version="v1"):
        """Stores the progress of a job's first item, as a gateway that stopped it."""
        output = text(events).encode()
        (ref,) = await gateway.batch_loop.blobs.put(job_id, [output], CALL_TIMEOUT_S)
        record = ItemProgress(job_id, 0, events, ref, "", SERVICE, version)
        await gateway.job_log.append_within(record, CALL_TIMEOUT_S)
        for each in self.gateways:
            await each.job_log.follower.catch_up()

    async def results(self, gateway, job_id, count):
        """Reads a job until it has ``count`` results."""
        while True:
            resp = await self.call(gateway, "GET", f"/api/lots/{job_id}?after=0")
            rows = msgspec.json.decode(resp.body)["results"] if resp.body else []
            if resp.status == 200 and len(rows) >= count:
                return rows
            await self.pause(0.02)

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        for server in [self.store, *self.engines]:
            await server.stop()
        self.pool.stop()


def job(bodies, tokens=10, prompts=()):
    """Returns a job's body; ``prompts`` holds the prompt parts of each item."""
    items = [
        {
            "id": f"item{number}",
            "path": f"/jobs/{number}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(body).decode(),
            "tokens": tokens,
        }
        for number, body in enumerate(bodies)
    ]
    for item, prompt in zip(items, prompts, strict=False):
        item["headers"]["X-Prompt-Prefix"] = prompt
    return msgspec.json.encode({"items": items})


def events(first, last):
    return b"".join(
        b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def text(count):
    return "\n".join(f"word{n}" for n in range(1, count + 1))
