"""Sends the requests of attempts to sidecars over HTTP."""

from typing import Any

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ...attempts import OpenAttempt
from ...model import Instance
from ._memory_body import MemoryBody
from ._short_body import read_short_body
from ._sidecar_connection import OnEvent, SidecarConnection

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 30
MAX_IDLE_CONNECTIONS = 64
KEY_HEADER = "X-Pomeloshift-Key"


class SidecarClient:
    """The HTTP client of one entry for all sidecars.

    The client never retries: the core of a request decides whether a retry is safe.
    """

    def __init__(self, reactor: Any, internal_key: str) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._reactor = reactor
        self._headers = {
            KEY_HEADER: [internal_key],
            "Content-Type": ["application/msgpack"],
        }

    def open(self, effect: OpenAttempt, on_event: OnEvent) -> SidecarConnection:
        """Requests an attempt and returns the connection that receives its frames."""
        connection = SidecarConnection(effect.connection, on_event)
        body = msgspec.msgpack.encode(effect.request)
        connection.begin(self._post(effect.instance, "/attempts", body))
        return connection

    def abandon(self, instance: Instance, attempt_id: str) -> None:
        """Asks a sidecar once to stop an attempt; a failure is only logged."""
        body = msgspec.msgpack.encode(attempt_id)
        sent = self._post(instance, "/attempts/abandon", body)
        sent.addCallback(read_short_body)
        sent.addTimeout(CONNECT_TIMEOUT_S * 2, self._reactor)
        sent.addErrback(_log_lost_abandon, instance.name, attempt_id)

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.closeCachedConnections()

    def _post(self, instance: Instance, path: str, body: bytes) -> Deferred[Any]:
        url = f"http://{instance.address}{path}".encode()
        headers = Headers(self._headers)
        producer: Any = MemoryBody(body)
        return self._agent.request(b"POST", url, headers, producer)


def _log_lost_abandon(failure: Failure, name: str, attempt_id: str) -> None:
    logger.debug(
        "event=abandon_failed instance={} attempt={} reason={}",
        name,
        attempt_id,
        failure.getErrorMessage(),
    )
