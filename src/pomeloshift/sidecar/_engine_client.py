"""Calls an engine over the OpenAI protocol and its control interface."""

from typing import Any, TypeVar

import cattrs
import msgspec
from treq.client import HTTPClient
from twisted.internet.error import ConnectError, ConnectionRefusedError, DNSLookupError
from twisted.web.client import Agent, HTTPConnectionPool, RequestNotSent
from twisted.web.http_headers import Headers

from ..errors import Ran
from ..http1 import is_final_status
from ..net._bounded_body import read_bounded
from ._engine_body import OnChunk, receive
from ._engine_errors import EngineFencedError, EngineLostError, EngineRefusedError
from ._engine_types import EngineEnd, EngineLoadSnapshot, EngineServes

CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 5.0
HEALTH_TIMEOUT_S = 2.0
# Limits of bodies that are not relayed: states, errors, and exported KV caches.
MAX_CONTROL_BYTES = 1024 * 1024
MAX_KV_BYTES = 1024 * 1024 * 1024
IDLE_CONNECTION_S = 30
MAX_IDLE_CONNECTIONS = 256
EVENT_STREAM = "text/event-stream"
CONFLICT_STATUS = 409
CANCELLED_STATUS = 499
UNAVAILABLE_STATUS = 503
NEVER_SENT = (ConnectError, ConnectionRefusedError, DNSLookupError, RequestNotSent)

T = TypeVar("T")


class EngineClient:
    """The HTTP client of a sidecar for one engine.

    end = await client.run("s1", "/v1/completions", body, on_chunk)
    """

    def __init__(self, base_url: str, reactor: Any) -> None:
        self._base_url = base_url.rstrip("/")
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)

    async def run(
        self,
        stream_id: str,
        path: str,
        body: bytes,
        on_chunk: OnChunk,
        resume: bytes = b"",
    ) -> EngineEnd:
        """Runs a stream and returns when it ends.

        ``on_chunk`` receives complete events and the number of tokens in them. With
        ``resume`` the engine sends only what follows the tokens produced before; a
        response that is not streamed is always sent in full. Raises
        `EngineRefusedError` if nothing ran, and `EngineLostError` if the stream ran
        partly or may have run.
        """
        headers = {"content-type": "application/json", "x-request-id": stream_id}
        if resume:
            headers["x-resume"] = resume.decode()
        response = await self._request("POST", path, body, headers)
        await self._check_status(response)
        content_type = _content_type(response)
        is_event_stream = content_type.startswith(EVENT_STREAM)
        try:
            is_complete = await receive(response, on_chunk, is_event_stream)
        except Exception as exc:
            raise EngineLostError(
                f"the engine's stream was interrupted: {exc}", Ran.YES
            ) from exc
        is_cancelled = response.code == CANCELLED_STATUS
        return EngineEnd(response.code, content_type, is_complete and not is_cancelled)

    async def cancel(self, stream_id: str) -> bytes:
        """Stops a stream and returns its resume token; empty if there is none."""
        path = f"/control/streams/{stream_id}/cancel"
        fields = await self._control("POST", path)
        return str(fields.get("resume", "")).encode()

    async def export_kv(self, stream_id: str) -> bytes:
        """Returns the KV cache of a running stream as opaque bytes."""
        path = f"/control/streams/{stream_id}/kv"
        return await self._control_bytes("GET", path, max_bytes=MAX_KV_BYTES)

    async def import_kv(self, exported: bytes) -> None:
        """Loads a KV cache that another engine exported."""
        await self._control_bytes("PUT", "/control/kv", exported)

    async def load(self) -> EngineLoadSnapshot:
        """Returns the engine's load, which lags behind its actual state."""
        return _structure(
            await self._control("GET", "/control/load"), EngineLoadSnapshot
        )

    async def serves(self) -> EngineServes:
        """Returns the models, adapters, version and role that the engine serves."""
        return _structure(await self._control("GET", "/control/state"), EngineServes)

    async def order(self, kind: str, value: str, fencing_number: int) -> EngineServes:
        """Sends a command and returns what the engine serves after it.

        Raises `EngineFencedError` if the engine checks fencing tokens and has seen
        a higher one.
        """
        fields = {"kind": kind, "value": value, "fencing_number": fencing_number}
        body = msgspec.json.encode(fields)
        return _structure(
            await self._control("POST", "/control/orders", body), EngineServes
        )

    async def is_alive(self) -> bool:
        """Returns whether the engine responds to a health check."""
        try:
            await self._control_bytes(
                "GET", "/control/health", timeout_s=HEALTH_TIMEOUT_S
            )
        except (EngineLostError, EngineRefusedError):
            return False
        return True

    async def close(self) -> None:
        """Closes the idle connections to the engine."""
        await self._pool.closeCachedConnections()

    async def _control(
        self, method: str, path: str, body: bytes = b""
    ) -> dict[str, Any]:
        raw = await self._control_bytes(method, path, body)
        try:
            fields = msgspec.json.decode(raw, type=dict[str, Any])
        except msgspec.MsgspecError as exc:
            raise EngineLostError(
                f"the engine's response to {path} cannot be decoded"
            ) from exc
        return fields

    async def _control_bytes(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CONTROL_TIMEOUT_S,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes:
        headers = {"content-type": "application/json"}
        response = await self._request(method, path, body, headers, timeout_s)
        await self._check_status(response)
        return await self._read(response, timeout_s, max_bytes)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float | None = None,
    ) -> Any:
        try:
            return await self._http.request(
                method,
                self._base_url + path,
                headers=Headers({k: [v] for k, v in headers.items()}),
                data=body or None,
                timeout=timeout_s,
                unbuffered=True,
            )
        except NEVER_SENT as exc:
            raise EngineRefusedError(f"cannot connect to the engine: {exc}") from exc
        except Exception as exc:
            raise EngineLostError(f"the engine did not respond: {exc}") from exc

    async def _check_status(self, response: Any) -> None:
        status = response.code
        if not is_final_status(status):
            raise EngineLostError(f"the engine responded with status {status}")
        if status < 400 or status == CANCELLED_STATUS:
            return
        body = await self._read(response, CONTROL_TIMEOUT_S, MAX_CONTROL_BYTES)
        message = f"the engine responded with status {status}"
        if status >= 500 and status != UNAVAILABLE_STATUS:
            raise EngineLostError(message)
        if status == CONFLICT_STATUS and b'"fenced"' in body:
            raise EngineFencedError(message, status, body)
        raise EngineRefusedError(message, status, body)

    async def _read(self, response: Any, timeout_s: float, max_bytes: int) -> bytes:
        try:
            body = read_bounded(response, max_bytes)
            return await body.addTimeout(timeout_s, self._reactor)
        except Exception as exc:
            raise EngineLostError(
                f"the engine's response was interrupted: {exc}"
            ) from exc


def _content_type(response: Any) -> str:
    values = response.headers.getRawHeaders("content-type", [""])
    return str(values[0])


def _structure(fields: dict[str, Any], into: type[T]) -> T:
    try:
        return cattrs.structure(fields, into)
    except Exception as exc:
        raise EngineLostError(
            f"the engine's response cannot be decoded: {exc}"
        ) from exc
