"""The HTTP client of the demo's callers."""

from typing import Any

import attrs
import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from ..net import Clock

TIMEOUT_S = 60.0
EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"


@attrs.define
class StreamedResponse:
    """What a caller received for one streamed request; times are in seconds.

    ``status`` is 0 if there was no response. ``complete`` is set if the stream reached
    its end marker. ``ran`` is what the error states on whether the request was run.
    ``gaps_s`` are the times between tokens.
    """

    status: int = 0
    text: str = ""
    complete: bool = False
    error_code: str = ""
    ran: str = ""
    first_token_s: float | None = None
    gaps_s: list[float] = attrs.field(factory=list)


class _EventReader(Protocol):
    def __init__(
        self, response: StreamedResponse, clock: Clock, started_at: float
    ) -> None:
        self.done: Deferred[None] = Deferred()
        self._response = response
        self._clock = clock
        self._started_at = started_at
        self._last_at = 0.0
        self._buffer = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if event.startswith(EVENT_PREFIX):
                self._handle_event(event.removeprefix(EVENT_PREFIX))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reason is None or not reason.check(ResponseDone):
            self._response.complete = False
        self.done.callback(None)

    def _handle_event(self, event: bytes) -> None:
        if event == END_OF_STREAM:
            self._response.complete = True
            return
        fields = msgspec.json.decode(event)
        if "error" in fields:
            self._response.error_code = fields["error"]["code"]
            self._response.ran = fields["error"]["ran"]
            return
        for choice in fields.get("choices", ()):
            content = choice.get("delta", {}).get("content")
            if content:
                self._record_token(content)

    def _record_token(self, content: str) -> None:
        now = self._clock.monotonic()
        if self._response.first_token_s is None:
            self._response.first_token_s = now - self._started_at
        else:
            self._response.gaps_s.append(now - self._last_at)
        self._last_at = now
        self._response.text += content


class DemoClient:
    """Sends requests to entries, as callers and operators do."""

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._clock = clock
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = 64
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, pool=self._pool)
        self._http = HTTPClient(agent)

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.closeCachedConnections()

    async def stream(self, url: str, key: str, body: bytes) -> StreamedResponse:
        """Sends a streamed chat completion and returns what was received.

        A failure of the connection is not raised; ``error_code`` names the exception.
        """
        response = StreamedResponse()
        started_at = self._clock.monotonic()
        try:
            http_response = await self._http.post(
                f"{url}/v1/chat/completions",
                headers=_headers(key),
                data=body,
                timeout=TIMEOUT_S,
                unbuffered=True,
            )
            response.status = http_response.code
            if http_response.code != 200:
                error = msgspec.json.decode(await http_response.content())
                response.error_code = error["error"]["code"]
                response.ran = error["error"]["ran"]
                return response
            reader = _EventReader(response, self._clock, started_at)
            http_response.deliverBody(reader)
            await reader.done
        except Exception as exc:
            response.error_code = type(exc).__name__
        return response

    async def request(
        self,
        method: str,
        url: str,
        key: str,
        body: Any = None,
        files: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and the body of the response."""
        fields = _headers(key) | (headers or {})
        data = body
        if files is not None:
            del fields["content-type"]
        elif body is not None and not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        response = await self._http.request(
            method, url, headers=fields, data=data, files=files, timeout=TIMEOUT_S
        )
        return response.code, await response.content()


def _headers(key: str) -> Any:
    return {"authorization": f"Bearer {key}", "content-type": "application/json"}
