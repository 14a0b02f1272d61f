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
class StreamedAnswer:
    """What a caller received of one streamed request; times are in seconds.

    ``status`` is 0 where no answer came at all. ``ran`` is what an error said about
    whether the request was run.
    """

    status: int = 0
    text: str = ""
    whole: bool = False
    error_code: str = ""
    ran: str = ""
    first_token_s: float | None = None
    gaps_s: list[float] = attrs.field(factory=list)


class _EventReader(Protocol):
    def __init__(self, answer: StreamedAnswer, clock: Clock, started_at: float) -> None:
        self.done: Deferred[None] = Deferred()
        self._answer = answer
        self._clock = clock
        self._started_at = started_at
        self._last_at = 0.0
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            if event.startswith(EVENT_PREFIX):
                self._take(event.removeprefix(EVENT_PREFIX))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reason is None or not reason.check(ResponseDone):
            self._answer.whole = False
        self.done.callback(None)

    def _take(self, event: bytes) -> None:
        if event == END_OF_STREAM:
            self._answer.whole = True
            return
        fields = msgspec.json.decode(event)
        if "error" in fields:
            self._answer.error_code = fields["error"]["code"]
            self._answer.ran = fields["error"]["ran"]
            return
        for choice in fields.get("choices", ()):
            content = choice.get("delta", {}).get("content")
            if content:
                self._take_token(content)

    def _take_token(self, content: str) -> None:
        now = self._clock.monotonic()
        if self._answer.first_token_s is None:
            self._answer.first_token_s = now - self._started_at
        else:
            self._answer.gaps_s.append(now - self._last_at)
        self._last_at = now
        self._answer.text += content


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

    async def stream(self, url: str, key: str, body: bytes) -> StreamedAnswer:
        """Sends a streamed chat completion and returns what came back."""
        answer = StreamedAnswer()
        started_at = self._clock.monotonic()
        try:
            response = await self._http.post(
                f"{url}/v1/chat/completions",
                headers=_headers(key),
                data=body,
                timeout=TIMEOUT_S,
                unbuffered=True,
            )
            answer.status = response.code
            if response.code != 200:
                error = msgspec.json.decode(await response.content())
                answer.error_code = error["error"]["code"]
                answer.ran = error["error"]["ran"]
                return answer
            reader = _EventReader(answer, self._clock, started_at)
            response.deliverBody(reader)
            await reader.done
        except Exception as exc:
            answer.error_code = type(exc).__name__
        return answer

    async def request(
        self,
        method: str,
        url: str,
        key: str,
        body: Any = None,
        files: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the answer's status and body."""
        sent = _headers(key) | (headers or {})
        data = body
        if files is not None:
            del sent["content-type"]
        elif body is not None and not isinstance(body, bytes):
            data = msgspec.json.encode(body)
        response = await self._http.request(
            method, url, headers=sent, data=data, files=files, timeout=TIMEOUT_S
        )
        return response.code, await response.content()


def _headers(key: str) -> Any:
    return {"authorization": f"Bearer {key}", "content-type": "application/json"}
