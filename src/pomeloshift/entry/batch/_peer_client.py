"""Sends calls to the entry that owns a partition."""

from typing import Any, Protocol

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ...errors import ErrorReport
from ...net._bounded_body import read_bounded
from ._calls import Call, Reply, decode_call, encode_call
from ._errors import OwnerUnreachableError, RemoteError

CALL_PATH = "/internal/v1/jobs"
KEY_HEADER = "x-pomeloshift-key"
CONNECT_TIMEOUT_S = 2.0
CONNECTIONS_PER_ENTRY = 4
HTTP_OK = 200
# The longest reply holds a file: the results of all items of a job.
MAX_REPLY_BYTES = 512 * 1024 * 1024


class Peers(Protocol):
    """A client for calls to other entries."""

    async def call(self, address: str, call: Call) -> Reply:
        """Returns the reply of the entry at ``address``.

        Raises `OwnerUnreachableError` if there is no reply, and `RemoteError` with
        the error that the entry returned.
        """

    async def close(self) -> None:
        """Closes all persistent connections."""


class PeerClient:
    """Sends calls to other entries over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, reactor: Any, internal_key: str, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._headers = Headers(
            {KEY_HEADER: [internal_key], "content-type": ["application/msgpack"]}
        )
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)

    async def call(self, address: str, call: Call) -> Reply:
        """Returns the reply of the entry at ``address``.

        Raises `OwnerUnreachableError` if there is no reply, and `RemoteError` with
        the error that the entry returned.
        """
        running: Deferred = Deferred.fromCoroutine(self._post(address, call))
        running.addTimeout(self._timeout_s, self._reactor)
        try:
            status, data = await running
        except Exception as exc:
            raise OwnerUnreachableError(
                f"the entry at {address} did not reply: {type(exc).__name__}"
            ) from exc
        if status == HTTP_OK:
            return decode_call(data)
        raise RemoteError(_report(status, data))

    async def close(self) -> None:
        """Closes the pool's persistent connections."""
        await self._pool.closeCachedConnections()

    async def _post(self, address: str, call: Call) -> tuple[int, bytes]:
        response = await self._http.post(
            f"http://{address}{CALL_PATH}",
            data=encode_call(call),
            headers=self._headers,
            unbuffered=True,
        )
        return response.code, await read_bounded(response, MAX_REPLY_BYTES)


def _report(status: int, data: bytes) -> ErrorReport:
    try:
        return msgspec.msgpack.decode(data, type=ErrorReport)
    except msgspec.DecodeError as exc:
        raise OwnerUnreachableError(f"an entry replied with status {status}") from exc
