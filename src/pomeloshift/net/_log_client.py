"""A client of the platform's log service over HTTP."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectBindError,
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from ..errors import ErrorCode
from ..log import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogPage,
    LogRateLimitedError,
    LogUnavailableError,
)
from ._bounded_body import read_bounded

MAX_IDLE_CONNECTIONS = 8
HTTP_OK = 200
# A page is longer than a few megabytes only if its one record is: an uploaded file.
MAX_RESPONSE_BYTES = 128 * 1024 * 1024
HEADERS = Headers({"content-type": ["application/msgpack"]})
# With these errors no request has reached the service.
NOT_SENT_ERRORS = (
    ConnectError,
    ConnectBindError,
    ConnectTimeoutError,
    ConnectingCancelledError,
    DNSLookupError,
    RequestGenerationFailed,
    RequestNotSent,
)
# Error codes with which the service states that it appended nothing.
NOT_APPENDED_CODES = {
    ErrorCode.LOG_UNAVAILABLE.value,
    ErrorCode.INVALID_REQUEST.value,
    ErrorCode.BODY_TOO_LARGE.value,
}

T = TypeVar("T")


class LogClient:
    """A `pomeloshift.log.LogStore` on top of the service at ``base_url``.

    An append that gets no response within ``timeout_s`` seconds, or whose connection
    breaks after the request was sent, raises `AppendOutcomeUnknownError`. Every
    failure before the request was sent raises `LogUnavailableError`.
    """

    def __init__(self, base_url: str, reactor: Any, timeout_s: float = 5.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=timeout_s, pool=self._pool)
        self._http = HTTPClient(agent)

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends the payloads and returns the offset of the first one."""
        body = msgspec.msgpack.encode(list(payloads))
        try:
            status, data = await self._within_timeout(
                lambda: self._post(self._url(stream), body)
            )
        except NOT_SENT_ERRORS as exc:
            raise _unavailable(exc) from exc
        except Exception as exc:
            raise AppendOutcomeUnknownError(
                f"no response to an append to {stream}: {type(exc).__name__}"
            ) from exc
        if status != HTTP_OK:
            raise _append_error(status, data)
        return _first_offset(data)

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns up to ``limit`` records from ``offset`` on."""
        url = f"{self._url(stream)}?offset={offset}&limit={limit}"
        try:
            status, data = await self._within_timeout(lambda: self._get(url))
        except Exception as exc:
            raise _unavailable(exc) from exc
        if status != HTTP_OK:
            raise _read_error(stream, status, data)
        try:
            return msgspec.msgpack.decode(data, type=LogPage)
        except msgspec.DecodeError as exc:
            raise _unavailable(exc) from exc

    async def close(self) -> None:
        """Closes the pooled connections."""
        await self._pool.closeCachedConnections()

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/v1/streams/{quote(stream, safe='')}/records"

    async def _post(self, url: str, body: bytes) -> tuple[int, bytes]:
        response = await self._http.post(
            url, data=body, headers=HEADERS, unbuffered=True
        )
        return response.code, await read_bounded(response, MAX_RESPONSE_BYTES)

    async def _get(self, url: str) -> tuple[int, bytes]:
        response = await self._http.get(url, unbuffered=True)
        return response.code, await read_bounded(response, MAX_RESPONSE_BYTES)

    async def _within_timeout(self, start: Callable[[], Awaitable[T]]) -> T:
        pending: Deferred = Deferred.fromCoroutine(start())  # type: ignore[arg-type]
        pending.addTimeout(self._timeout_s, self._reactor)
        return await pending


def _unavailable(exc: Exception) -> LogUnavailableError:
    return LogUnavailableError(f"log service unavailable: {type(exc).__name__}")


def _read_error(stream: str, status: int, data: bytes) -> Exception:
    if _error_field(data, "code") != ErrorCode.LOG_EXPIRED.value:
        return LogUnavailableError(f"read of {stream} failed with status {status}")
    first_offset = int(_error_field(data, "first_offset") or 0)
    return LogExpiredError(
        f"the requested records of {stream} have expired", first_offset
    )


def _append_error(status: int, data: bytes) -> Exception:
    code = _error_field(data, "code")
    if code == ErrorCode.LOG_RATE_LIMITED.value:
        return LogRateLimitedError("append rate limit exceeded")
    if code in NOT_APPENDED_CODES:
        return LogUnavailableError(f"append rejected: {code}")
    return AppendOutcomeUnknownError(f"append failed with status {status}")


def _first_offset(data: bytes) -> int:
    try:
        return int(msgspec.json.decode(data)["first_offset"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
        raise AppendOutcomeUnknownError("malformed response to an append") from exc


def _error_field(data: bytes, name: str) -> Any:
    try:
        return msgspec.json.decode(data)["error"][name]
    except (msgspec.DecodeError, KeyError, TypeError):
        return None
