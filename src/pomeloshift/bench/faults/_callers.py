"""Simulated callers that send online requests and read the responses."""

from typing import Any

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.internet.task import deferLater
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    PartialDownloadError,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http_headers import Headers

from ...errors import Ran
from ...standins.engine import expected_answer
from ._engine import MODEL
from ._history import OnlineCall
from ._process import SimProcess
from ._world import PLAIN_SERVICE, TOKEN, World

CALLER_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.3
MAX_ATTEMPTS = 4
CONNECTION_LOST = "connection_lost"
EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
TRANSPORT_ERRORS = (
    CancelledError,
    ConnectError,
    ConnectionClosed,
    PartialDownloadError,
    ResponseFailed,
    ResponseNeverReceived,
    TimeoutError,
)


class HttpCaller:
    """The HTTP client of one process; it opens a new connection per request."""

    def __init__(self, process: SimProcess) -> None:
        self._reactor: Any = process
        pool = HTTPConnectionPool(process, persistent=False)
        agent: Any = Agent(process, connectTimeout=2.0, pool=pool)
        self._http = HTTPClient(agent)
        self.process = process

    async def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Returns status and body; raises one of `TRANSPORT_ERRORS`.

        The request times out after `CALLER_TIMEOUT_S`.
        """
        fields = {"authorization": [f"Bearer {TOKEN}"]}
        fields |= {name: [value] for name, value in (headers or {}).items()}
        sending = Deferred.fromCoroutine(
            self._request(method, url, body, Headers(fields))
        )
        sending.addTimeout(CALLER_TIMEOUT_S, self._reactor)
        return await sending

    async def _request(
        self, method: str, url: str, body: Any, headers: Headers
    ) -> tuple[int, bytes]:
        response = await self._http.request(method, url, data=body, headers=headers)
        return response.code, await response.content()

    async def sleep(self, seconds: float) -> None:
        """Waits for ``seconds`` of virtual time."""
        await deferLater(self._reactor, seconds, lambda: None)


class OnlineCaller:
    """Sends online requests and retries failed ones as a typical client does.

    A request is retried when the connection was lost or the error states that it did
    not run; a request that crashes engines is retried after any error.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._http = HttpCaller(world.caller)

    def complete(self, marker: str, entries: list[str], words: int = 6) -> OnlineCall:
        """Starts a streamed completion; each attempt goes to the next entry."""
        prompt = " ".join([marker] + [f"word{n}" for n in range(words)])
        if marker.startswith("poison"):
            prompt += " CRASH-ENGINE"
        fields = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": 40,
            "ignore_eos": True,
            "stream": True,
        }
        body = msgspec.json.encode(fields)
        call = self._new_call(marker, body, expected_answer(fields))
        call.is_poison = marker.startswith("poison")
        self._world.spawn(self._run(call, "/v1/completions", entries, {}))
        return call

    def call_service(self, key: str, entries: list[str]) -> OnlineCall:
        """Starts a call to the plain service that must run at most once."""
        call = self._new_call(key, b"{}", "")
        call.idempotency_key = key
        headers = {"idempotency-key": key}
        path = f"/v1/services/{PLAIN_SERVICE}/send/{key}"
        self._world.spawn(self._run(call, path, entries, headers))
        return call

    def _new_call(self, marker: str, body: bytes, expected: str) -> OnlineCall:
        now = self._world.clock.seconds()
        call = OnlineCall(marker, body, expected, now)
        self._world.history.online.append(call)
        return call

    async def _run(
        self, call: OnlineCall, path: str, entries: list[str], headers: dict[str, str]
    ) -> None:
        may_have_run = False
        for number in range(MAX_ATTEMPTS):
            entry = entries[number % len(entries)]
            await self._send(call, path, entry, headers)
            # A later refusal does not prove that an earlier attempt did not run.
            may_have_run = (
                may_have_run or bool(call.error_code) and call.ran is not Ran.NO
            )
            if not self._should_retry(call):
                break
            await self._http.sleep(RETRY_PAUSE_S)
        if may_have_run and call.ran is Ran.NO:
            call.ran = Ran.UNKNOWN
        call.ended_at = self._world.clock.seconds()

    def _should_retry(self, call: OnlineCall) -> bool:
        if not call.error_code:
            return False
        if call.is_poison:
            return True
        return call.error_code == CONNECTION_LOST or call.ran is Ran.NO

    async def _send(
        self, call: OnlineCall, path: str, entry: str, headers: dict[str, str]
    ) -> None:
        call.text, call.is_complete, call.error_code, call.ran = "", False, "", None
        address = self._world.entries[entry].entry.instance.address
        url = f"http://{address}{path}"
        headers = headers | {"content-type": "application/json"}
        try:
            status, body = await self._http.request("POST", url, call.body, headers)
        except TRANSPORT_ERRORS:
            call.status, call.error_code = 0, CONNECTION_LOST
            return
        call.status = status
        if call.idempotency_key and status == 200:
            call.is_complete = True
        elif status == 200:
            _apply_events(call, body)
        else:
            _apply_error(call, body)


def _apply_events(call: OnlineCall, body: bytes) -> None:
    for event in body.split(b"\n\n"):
        data = event.removeprefix(EVENT_PREFIX)
        if data == END_OF_STREAM:
            call.is_complete = True
        elif data:
            _apply_event(call, data)


def _apply_event(call: OnlineCall, data: bytes) -> None:
    fields = msgspec.json.decode(data)
    if "error" in fields:
        _set_error(call, fields["error"])
        return
    for choice in fields["choices"]:
        call.text += choice["text"]


def _apply_error(call: OnlineCall, body: bytes) -> None:
    try:
        _set_error(call, msgspec.json.decode(body)["error"])
    except (msgspec.DecodeError, KeyError):
        call.error_code = CONNECTION_LOST


def _set_error(call: OnlineCall, error: dict[str, Any]) -> None:
    call.error_code = error["code"]
    call.ran = Ran(error["ran"])
