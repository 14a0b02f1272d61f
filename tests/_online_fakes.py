"""A fake sidecar on a real listener, and an entry that calls it."""

from random import Random

import msgspec
from klein import Klein
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread
from twisted.web.client import Agent

from pomeloshift.attempts import AttemptRegistry, OnlineConfig, OpenOutcome
from pomeloshift.config import (
    ApiKeyConfig,
    CallPattern,
    Configuration,
    ServiceConfig,
    ServiceKind,
    WorkspaceConfig,
)
from pomeloshift.entry._auth import Authenticator, digest_key
from pomeloshift.entry.online import OnlineApi, OnlineService
from pomeloshift.errors import ErrorCode, ErrorReport, Ran
from pomeloshift.model import Instance, InstanceRole, LoadReport, Place
from pomeloshift.net import SystemClock
from pomeloshift.net._http import read_body
from pomeloshift.net._serve import serve
from pomeloshift.routing import Router, RouterConfig
from pomeloshift.wire import AttemptRequest, SidecarReport, encode_frame

INTERNAL_KEY = "internal-key-of-tests"
KEY = "k1.secret"
EVENT_STREAM = "text/event-stream"
WORDS = ("The", " hive", " is", " calm", " today")
PLACE = Place("r", "z")
FAST = OnlineConfig(
    accept_timeout_s=0.3,
    stall_s=0.4,
    suspect_wait_s=0.05,
    propagation_s=0.05,
    backoff_s=0.01,
)


def event(text, number, finish=None):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    fields = {
        "id": f"chatcmpl-{number}",
        "object": "chat.completion.chunk",
        "created": number,
        "model": "hive-assist",
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"


def completion(number):
    message = {"role": "assistant", "content": "".join(WORDS)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    fields = {
        "id": f"chatcmpl-{number}",
        "object": "chat.completion",
        "created": number,
        "model": "hive-assist",
        "choices": [choice],
        "usage": {"prompt_tokens": 3, "completion_tokens": 5, "total_tokens": 8},
    }
    return msgspec.json.encode(fields)


class FakeSidecar:
    """Runs attempts with the real registry.

    Attributes inject faults: the next ``hanging_accepts`` requests get no response;
    at the frame with the given number, a connection hangs (``hang_at_frame``) or is
    aborted (``abort_at_frame``), each once, or the sidecar stops
    (``crash_at_frame``). An attempt whose body contains ``poison`` stops the sidecar.
    """

    app = Klein()

    def __init__(self, reactor, name):
        self.reactor = reactor
        self.name = name
        self.registry = AttemptRegistry(incarnation=1)
        self.listener = serve(reactor, self.app.resource(), "127.0.0.1")
        self.is_stopped = False
        self.requests = []
        self.runs = []
        self.abandoned = []
        self.hanging_accepts = 0
        self.hang_at_frame = None
        self.abort_at_frame = None
        self.crash_at_frame = None
        self.refusal = None
        self.poison = None
        self.pause_s = 0.001
        self.words = WORDS

    @property
    def instance(self):
        role = InstanceRole.BACKEND_SERVER
        return Instance(
            self.name, role, PLACE, self.listener.address, service="hive-assist"
        )

    def report(self, sequence=1):
        load = LoadReport(capacity_tokens=10_000)
        return SidecarReport(self.instance, 1, sequence, 0, load)

    async def stop(self):
        if not self.is_stopped:
            self.is_stopped = True
            await self.listener.stop()

    @app.route("/attempts", methods=["POST"])
    async def open(self, req):
        assert req.getHeader("x-pomeloshift-key") == INTERNAL_KEY
        attempt = msgspec.msgpack.decode(read_body(req), type=AttemptRequest)
        self.requests.append(attempt)
        if self.hanging_accepts > 0:
            self.hanging_accepts -= 1
            return await Deferred()
        opened = self.registry.open(attempt, 0.0)
        error = opened.error or self.refusal
        if error is not None:
            req.setResponseCode(503)
            return msgspec.msgpack.encode(error)
        if opened.kind is OpenOutcome.STARTED:
            self.runs.append(attempt.attempt_id)
            Deferred.fromCoroutine(self.produce(attempt))
        req.write(b"")
        await self.send_frames(req, attempt)

    @app.route("/attempts/abandon", methods=["POST"])
    def abandon(self, req):
        attempt_id = msgspec.msgpack.decode(read_body(req), type=str)
        self.abandoned.append(attempt_id)
        self.registry.abandon(attempt_id, 0.0)
        return b""

    async def produce(self, attempt):
        if self.poison is not None and self.poison in attempt.body:
            await self.stop()
            return
        for payload in self.payloads(attempt):
            await deferLater(self.reactor, self.pause_s, lambda: None)
            if not self.registry.is_running(attempt.attempt_id):
                return
            kind = EVENT_STREAM if attempt.stream else "application/json"
            self.registry.append(attempt.attempt_id, payload, 1, 200, kind)
        self.registry.finish(attempt.attempt_id)

    def payloads(self, attempt):
        number = len(self.runs) + hash(self.name) % 1000
        if not attempt.stream:
            return [completion(number)]
        chunks = [event(word, number) for word in self.words]
        return [*chunks, event("", number, "stop"), b"data: [DONE]\n\n"]

    async def send_frames(self, req, attempt):
        sequence = attempt.next_sequence
        while req.channel is not None:
            for frame in self.registry.frames_from(attempt.attempt_id, sequence):
                if frame.sequence == self.hang_at_frame:
                    self.hang_at_frame = None
                    return await Deferred()
                if frame.sequence == self.abort_at_frame:
                    self.abort_at_frame = None
                    req.channel.transport.abortConnection()
                    return None
                if frame.sequence == self.crash_at_frame:
                    return await self.stop()
                req.write(encode_frame(frame))
                sequence += 1
                if frame.total is not None:
                    return None
            await deferLater(self.reactor, 0.002, lambda: None)


class Fleet:
    """An entry with its API, and sidecars whose reports its router has received."""

    def __init__(self, reactor, sidecars=2, call_guard=None):
        self.reactor = reactor
        self.sidecars = [FakeSidecar(reactor, f"s{n}") for n in range(sidecars)]
        self.router = Router(RouterConfig(name="e1"), PLACE, Random(1))
        self.finished = []
        self.service = OnlineService(
            "e1",
            PLACE,
            SystemClock(),
            reactor,
            Random(2),
            self.router,
            lambda: configuration(),
            INTERNAL_KEY,
            on_finished=self.finished.append,
            cfg=FAST,
        )
        self.observe_reports()
        auth = Authenticator(configuration)
        api = OnlineApi(self.service, auth, call_guard)
        self.entry = serve(reactor, api.resource, "127.0.0.1")
        self.url = f"http://{self.entry.address}"
        self.http = HTTPClient(Agent(reactor))

    def list_entries(self, count):
        """Gives the router an instance list with ``count`` entries of its region."""
        role = InstanceRole.ENTRY
        entries = [Instance(f"e{n}", role, PLACE, "") for n in range(count)]
        servers = [sidecar.instance for sidecar in self.sidecars]
        now = SystemClock().monotonic()
        self.router.observe_instances([*servers, *entries], now)

    def observe_reports(self):
        now = SystemClock().monotonic()
        for sidecar in self.sidecars:
            self.router.observe_report(sidecar.report(), now)

    def blocking(self, function, *args):
        """Runs a blocking client in a thread of its own."""
        return deferToThread(function, *args)

    async def chat(self, text="hello", stream=True, key=KEY, **fields):
        body = {"model": "hive-assist", "stream": stream, **fields}
        body.setdefault("messages", [{"role": "user", "content": text}])
        return await self.post("/v1/chat/completions", msgspec.json.encode(body), key)

    async def post(self, path, body, key=KEY, method="POST", headers=()):
        headers = {"authorization": f"Bearer {key}", **dict(headers)}
        response = await self.http.request(
            method, self.url + path, headers=headers, data=body
        )
        return response, await response.content()

    async def stop(self):
        await self.service.close()
        await self.entry.stop()
        for sidecar in self.sidecars:
            await sidecar.stop()
        await deferLater(self.reactor, 0.01, lambda: None)


def configuration():
    return Configuration(
        "tests",
        services=(
            ServiceConfig("hive-assist", online_deadline_s=10.0),
            ServiceConfig(
                "notes",
                ServiceKind.PLAIN,
                unrepeatable_calls=(CallPattern("POST", "/send"),),
            ),
        ),
        workspaces=(WorkspaceConfig("w", requests_per_s=300.0, concurrency=30),),
        api_keys=(ApiKeyConfig("k1", "w", "salt", digest_key("salt", "secret")),),
    )


def refusal(code=ErrorCode.OVERLOADED, ran=Ran.NO, retry_after_s=1.5):
    return ErrorReport(code, "", ran, retry_after_s)
