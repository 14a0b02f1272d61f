"""Serves the engine stand-in over HTTP."""

import base64
from random import Random
from typing import Any

import cattrs
import msgspec
from klein import Klein
from loguru import logger
from twisted.internet.task import deferLater
from twisted.web.resource import IResource
from twisted.web.server import Request

from ...net import Clock
from ...net._http import (
    InvalidRequestError,
    handles_errors,
    read_body,
    read_json,
    respond_json,
)
from ._errors import EngineStandbyError, StreamExistsError, UnknownEngineModelError
from ._model import EngineModel
from ._orders import EngineOrder, EngineRole, EngineState
from ._resume import ResumePoint, decode_resume
from ._session import Session
from ._settings import EngineSettings
from ._text import generation_for
from ._work import EngineCrashed, EngineOutput, EngineWork, WorkFinished

REQUEST_ID_HEADER = "x-request-id"
RESUME_HEADER = "x-resume"


class EngineServer:
    """Serves one `EngineModel` through the OpenAI API and the control interface.

    ``resource`` is to be served by `pomeloshift.net._serve.serve`.
    """

    app = Klein()

    def __init__(
        self, settings: EngineSettings, reactor: Any, clock: Clock, rng: Random
    ) -> None:
        self.settings = settings
        self.state = EngineState(list(settings.models))
        self.model = EngineModel(settings, rng)
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._sessions: dict[str, Session] = {}
        self._step_timer: Any = None
        self._restart_timer: Any = None

    @property
    def resource(self) -> IResource:
        """The web resource of the engine."""
        resource: Any = self.app.resource()
        return resource

    def crash(self) -> None:
        """Crashes the engine and aborts its connections.

        New connections are aborted too until the restart, which follows after
        ``restart_s`` unless that is 0.
        """
        logger.info("event=engine_crashed engine={}", self.settings.name)
        self.model.crash(self._clock.monotonic())
        self._stop_step_timer()
        sessions = list(self._sessions.values())
        self._sessions.clear()
        for session in sessions:
            session.abort()
        if self.settings.restart_s > 0 and self._restart_timer is None:
            self._restart_timer = self._reactor.callLater(
                self.settings.restart_s, self.restart
            )

    def restart(self) -> None:
        """Restarts a crashed engine with its initial state and empty memory."""
        self._stop_restart_timer()
        self.state = EngineState(list(self.settings.models))
        self.model.restart()

    def stop(self) -> None:
        """Stops all timers and aborts the connections that are still open."""
        self._stop_step_timer()
        for session in list(self._sessions.values()):
            session.abort()
        self._sessions.clear()
        self._stop_restart_timer()

    @app.route("/v1/chat/completions", methods=["POST"])
    @handles_errors
    async def chat_completions(self, req: Request) -> Any:
        """Generates a chat completion."""
        return await self._generate(req, chat=True)

    @app.route("/v1/completions", methods=["POST"])
    @handles_errors
    async def completions(self, req: Request) -> Any:
        """Generates the continuation of a prompt."""
        return await self._generate(req, chat=False)

    @app.route("/v1/models", methods=["GET"])
    @handles_errors
    async def models(self, req: Request) -> Any:
        """Lists the loaded models and adapters."""
        if self._abort_if_crashed(req):
            return b""
        names = self.state.models + self.state.adapters
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in names
        ]
        return respond_json(req, {"object": "list", "data": data})

    @app.route("/control/health", methods=["GET"])
    @handles_errors
    async def health(self, req: Request) -> Any:
        """Responds with ``{"alive": true}`` unless the engine has crashed."""
        if self._abort_if_crashed(req):
            return b""
        return respond_json(req, {"alive": True})

    @app.route("/control/load", methods=["GET"])
    @handles_errors
    async def load(self, req: Request) -> Any:
        """Returns the load as of ``load_lag_s`` ago."""
        if self._abort_if_crashed(req):
            return b""
        load = self.model.load(self._clock.monotonic())
        return respond_json(req, cattrs.unstructure(load))

    @app.route("/control/cache-events", methods=["GET"])
    @handles_errors
    async def cache_events(self, req: Request) -> Any:
        """Lists the cache events after the sequence number of the query.

        Events appear with a lag, and some are missing.
        """
        if self._abort_if_crashed(req):
            return b""
        after = int((req.args or {}).get(b"after", [b"0"])[0])
        events = self.model.cache_events(after, self._clock.monotonic())
        data = [
            {"sequence": e.sequence, "block": str(e.block), "stored": e.stored}
            for e in events
        ]
        return respond_json(req, {"events": data})

    @app.route("/control/streams/<stream_id>/cancel", methods=["POST"])
    @handles_errors
    async def cancel(self, req: Request, stream_id: str) -> Any:
        """Stops a stream and returns the token with which it can resume."""
        if self._abort_if_crashed(req):
            return b""
        return respond_json(req, {"resume": self._cancel(stream_id).decode()})

    @app.route("/control/streams/<stream_id>/kv", methods=["GET"])
    @handles_errors
    async def export_kv(self, req: Request, stream_id: str) -> Any:
        """Exports the KV cache of a running stream as opaque bytes."""
        if self._abort_if_crashed(req):
            return b""
        blocks = self.model.export_kv(stream_id)
        req.setHeader(b"content-type", b"application/octet-stream")
        return base64.b64encode(msgspec.msgpack.encode(blocks))

    @app.route("/control/kv", methods=["PUT"])
    @handles_errors
    async def import_kv(self, req: Request) -> Any:
        """Imports a KV cache that another engine exported."""
        if self._abort_if_crashed(req):
            return b""
        try:
            raw = msgspec.msgpack.decode(base64.b64decode(read_body(req)))
        except (ValueError, msgspec.MsgspecError) as exc:
            raise InvalidRequestError("the KV cache cannot be read") from exc
        blocks = _hashable(raw)
        self.model.import_kv(blocks, self._clock.monotonic())
        return respond_json(req, {"blocks": len(blocks)})

    @app.route("/control/state", methods=["GET"])
    @handles_errors
    async def read_state(self, req: Request) -> Any:
        """Returns what the engine serves."""
        if self._abort_if_crashed(req):
            return b""
        return respond_json(req, cattrs.unstructure(self.state))

    @app.route("/control/orders", methods=["POST"])
    @handles_errors
    async def order(self, req: Request) -> Any:
        """Applies a command after ``order_s`` and returns the new state.

        The fencing token is checked again after the delay, because a newer command
        may have been applied in the meantime.
        """
        if self._abort_if_crashed(req):
            return b""
        order = _read_order(read_json(req))
        self.state.check(order, self.settings)
        await deferLater(self._reactor, self.settings.order_s, lambda: None)
        if self._abort_if_crashed(req):
            return b""
        self.state.check(order, self.settings)
        self.state.apply(order)
        return respond_json(req, cattrs.unstructure(self.state))

    async def _generate(self, req: Request, chat: bool) -> Any:
        if self._abort_if_crashed(req):
            return b""
        fields = read_json(req)
        self._check_model(str(fields.get("model", "")))
        generation = generation_for(fields)
        stream_id = req.getHeader(REQUEST_ID_HEADER) or f"{self._rng.getrandbits(64):x}"
        if stream_id in self._sessions:
            raise StreamExistsError(f"stream {stream_id} is already running")
        resume = req.getHeader(RESUME_HEADER)
        done = decode_resume(resume.encode(), generation.seed) if resume else 0
        session = Session(req, stream_id, generation, fields, chat, done)
        req.notifyFinish().addErrback(self._on_disconnect, session)
        session.begin()
        if done >= generation.tokens:
            session.finish()
        else:
            self._submit(session, done)
        await session.ended
        return b""

    def _submit(self, session: Session, done: int) -> None:
        generation = session.generation
        marker = self.settings.crash_marker
        words = generation.prompt_words
        work = EngineWork(
            stream_id=session.stream_id,
            prompt_tokens=len(words),
            output_tokens=generation.tokens,
            blocks=generation.blocks,
            done_tokens=done,
            crashes=bool(marker) and any(marker in word for word in words),
        )
        self._sessions[session.stream_id] = session
        self.model.submit(work, self._clock.monotonic())
        self._schedule()

    def _schedule(self) -> None:
        at = self.model.next_step_at()
        if self._step_timer is not None or at is None:
            return
        delay_s = max(0.0, at - self._clock.monotonic())
        self._step_timer = self._reactor.callLater(delay_s, self._on_step)

    def _on_step(self) -> None:
        self._step_timer = None
        outputs = self.model.advance(self._clock.monotonic())
        for output in outputs:
            self._on_output(output)
        for stream_id in self.model.stream_ids:
            session = self._sessions.get(stream_id)
            if session is not None:
                session.advance(session.first + self.model.produced(stream_id))
        self._schedule()

    def _on_output(self, output: EngineOutput) -> None:
        if isinstance(output, EngineCrashed):
            self.crash()
        elif isinstance(output, WorkFinished):
            session = self._sessions.pop(output.stream_id, None)
            if session is not None:
                session.finish()

    def _on_disconnect(self, failure: Any, session: Session) -> None:
        if self._sessions.get(session.stream_id) is session:
            del self._sessions[session.stream_id]
            self.model.cancel(session.stream_id, self._clock.monotonic())
        session.close()

    def _cancel(self, stream_id: str) -> bytes:
        session = self._sessions.pop(stream_id, None)
        if session is None:
            return b""
        done = self.model.cancel(stream_id, self._clock.monotonic())
        session.advance(done or 0)
        session.cancel()
        return ResumePoint(session.generation.seed, session.sent).encode()

    def _check_model(self, model: str) -> None:
        if self.state.role is EngineRole.STANDBY:
            raise EngineStandbyError("the engine is on standby", retry_after_s=1.0)
        if model not in self.state.models and model not in self.state.adapters:
            raise UnknownEngineModelError(f"model {model!r} is not loaded")

    def _abort_if_crashed(self, req: Request) -> bool:
        if not self.model.crashed:
            return False
        channel: Any = req.channel
        if channel is not None and channel.transport is not None:
            channel.transport.abortConnection()
        return True

    def _stop_step_timer(self) -> None:
        if self._step_timer is not None and self._step_timer.active():
            self._step_timer.cancel()
        self._step_timer = None

    def _stop_restart_timer(self) -> None:
        if self._restart_timer is not None and self._restart_timer.active():
            self._restart_timer.cancel()
        self._restart_timer = None


def _read_order(fields: dict[str, Any]) -> EngineOrder:
    try:
        return cattrs.structure(fields, EngineOrder)
    except (cattrs.BaseValidationError, ValueError, KeyError, TypeError) as exc:
        raise InvalidRequestError(f"the command cannot be read: {exc}") from exc


def _hashable(raw: Any) -> Any:
    return tuple(_hashable(part) for part in raw) if isinstance(raw, list) else raw
