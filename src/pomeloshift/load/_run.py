"""Sends the requests of a plan, each at the time when it is due."""

from typing import Any

import attrs
import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool

from ..net import Clock
from ._plan import PlannedRequest
from ._result import LoadResult, Tally
from ._streamed_response import UNREADABLE, StreamedResponse, error_code

MAX_IDLE_CONNECTIONS = 512
CONNECT_TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 300.0
NO_CONNECTION = "no_connection"


@attrs.frozen
class LoadTarget:
    """Where the load is sent.

    ``url`` is that of an entry, without a path. ``key`` is a caller's API key.
    """

    url: str
    key: str = attrs.field(repr=False)
    model: str


class LoadRun:
    """Runs a plan open-loop: no request waits for the response to another."""

    def __init__(self, target: LoadTarget, reactor: Any, clock: Clock) -> None:
        self._target = target
        self._reactor = reactor
        self._clock = clock
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)
        self._tally = Tally()

    async def run(self, plan: list[PlannedRequest]) -> LoadResult:
        """Sends every request of the plan and waits for all responses."""
        began_at = self._clock.monotonic()
        await gatherResults(
            [
                Deferred.fromCoroutine(self._send(request, began_at + request.at))
                for request in plan
            ],
            consumeErrors=True,
        )
        await self._pool.closeCachedConnections()
        return self._tally.result(len(plan), self._clock.monotonic() - began_at)

    async def _send(self, request: PlannedRequest, due_at: float) -> None:
        delay_s = max(0.0, due_at - self._clock.monotonic())
        await deferLater(self._reactor, delay_s)
        self._tally.late.record(max(0.0, self._clock.monotonic() - due_at))
        try:
            response = await self._post(request)
        except Exception:
            self._tally.fail(NO_CONNECTION)
            return
        if response.code >= 400:
            self._tally.fail(await _read_error(response))
            return
        await self._read_stream(response, due_at)

    def _post(self, request: PlannedRequest) -> Any:
        body = {
            "model": self._target.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "max_tokens": request.max_tokens,
            "stream": True,
        }
        headers: dict[bytes | str, bytes | str] = {
            "authorization": f"Bearer {self._target.key}",
            "content-type": "application/json",
        }
        return self._http.request(
            "POST",
            f"{self._target.url}/v1/chat/completions",
            headers=headers,
            data=msgspec.json.encode(body),
            unbuffered=True,
        )

    async def _read_stream(self, response: Any, due_at: float) -> None:
        times = _TokenTimes(self._tally, self._clock, due_at)
        stream = StreamedResponse(times.record_token)
        response.deliverBody(stream)
        stream.ended.addTimeout(RESPONSE_TIMEOUT_S, self._reactor, lambda *_: "timeout")
        error = await stream.ended
        if error is not None:
            self._tally.fail(error)
            return
        self._tally.complete += 1
        self._tally.whole_answer.record(self._clock.monotonic() - due_at)


class _TokenTimes:
    """Records the time to the first token and the times between tokens."""

    def __init__(self, tally: Tally, clock: Clock, due_at: float) -> None:
        self._tally = tally
        self._clock = clock
        self._due_at = due_at
        self._last_at: float | None = None

    def record_token(self) -> None:
        """Records a token that has just arrived."""
        now = self._clock.monotonic()
        self._tally.tokens += 1
        if self._last_at is None:
            self._tally.first_token.record(now - self._due_at)
        else:
            self._tally.between_tokens.record(now - self._last_at)
        self._last_at = now


async def _read_error(response: Any) -> str:
    body = await response.content()
    try:
        return error_code(msgspec.json.decode(body, type=dict[str, Any]))
    except msgspec.MsgspecError:
        return UNREADABLE
