"""Reads the platform's instance list."""

from typing import Any

import msgspec
import treq
from twisted.internet.defer import CancelledError, TimeoutError, ensureDeferred
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import HTTPConnectionPool, ResponseFailed

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..model import Instance
from ._bounded_body import BodyTooLargeError, read_bounded

TIMEOUT_S = 2.0
HTTP_OK = 200
# Limit of the list: some hundred bytes for each of 10,000 instances.
MAX_LIST_BYTES = 4 * 1024 * 1024


class ListUnavailableError(PomeloshiftError):
    """The instance list could not be read; the list read before remains valid."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class LiveListClient:
    """Reads the instance list from the service at ``url``.

    Each read opens a new connection and takes at most ``timeout_s`` seconds.
    """

    def __init__(self, url: str, reactor: Any, timeout_s: float = TIMEOUT_S) -> None:
        self._url = f"{url.rstrip('/')}/instances"
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(reactor, persistent=False)

    async def instances(self) -> tuple[Instance, ...]:
        """Returns the listed instances; raises `ListUnavailableError`."""
        pending = ensureDeferred(self._read())
        pending.addTimeout(self._timeout_s, self._reactor)
        try:
            return await pending
        except (
            CancelledError,
            ConnectError,
            ConnectionClosed,
            ResponseFailed,
            TimeoutError,
            BodyTooLargeError,
            msgspec.DecodeError,
        ) as exc:
            raise ListUnavailableError(
                f"cannot read the instance list: {type(exc).__name__}"
            ) from exc

    async def _read(self) -> tuple[Instance, ...]:
        resp = await treq.get(
            self._url, pool=self._pool, reactor=self._reactor, unbuffered=True
        )
        body = await read_bounded(resp, MAX_LIST_BYTES)
        if resp.code != HTTP_OK:
            raise ListUnavailableError(f"the instance list responded with {resp.code}")
        return msgspec.json.decode(body, type=tuple[Instance, ...])
