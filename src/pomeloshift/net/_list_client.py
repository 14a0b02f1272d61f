"""Reads the platform's list of instances."""

from typing import Any

import msgspec
import treq
from twisted.internet.defer import CancelledError, TimeoutError, ensureDeferred
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import HTTPConnectionPool, ResponseFailed

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..model import Instance

TIMEOUT_S = 2.0
HTTP_OK = 200


class ListUnavailableError(PomeloshiftError):
    """The live list could not be read; what was read before still counts."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class LiveListClient:
    """Reads the list over a new connection each time, within ``timeout_s``."""

    def __init__(self, url: str, reactor: Any, timeout_s: float = TIMEOUT_S) -> None:
        self._url = f"{url.rstrip('/')}/instances"
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(reactor, persistent=False)

    async def instances(self) -> tuple[Instance, ...]:
        """Returns the instances that the list shows; raises `ListUnavailableError`."""
        read = ensureDeferred(self._read())
        read.addTimeout(self._timeout_s, self._reactor)
        try:
            return await read
        except (
            CancelledError,
            ConnectError,
            ConnectionClosed,
            ResponseFailed,
            TimeoutError,
            msgspec.DecodeError,
        ) as exc:
            raise ListUnavailableError(
                f"the live list cannot be read: {type(exc).__name__}"
            ) from exc

    async def _read(self) -> tuple[Instance, ...]:
        resp = await treq.get(self._url, pool=self._pool, reactor=self._reactor)
        body = await resp.content()
        if resp.code != HTTP_OK:
            raise ListUnavailableError(f"the live list answered {resp.code}")
        return msgspec.json.decode(body, type=tuple[Instance, ...])
