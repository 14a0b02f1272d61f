"""An HTTP client that returns complete responses."""

from typing import Any

from ._client_connection import ConnectionPool
from ._errors import CallTimeoutError, ConnectionBrokenError
from ._messages import (
    Chunk,
    Disconnected,
    Headers,
    RequestHead,
    Response,
    ResponseEnd,
    ResponseHead,
)


class Client:
    """Makes HTTP calls over a connection pool.

    response = await client.call("10.0.0.1:80", RequestHead(...), b"", timeout_s=1.0)
    """

    def __init__(self, pool: ConnectionPool, clock: Any) -> None:
        self._pool = pool
        self._clock = clock

    async def call(
        self, address: str, head: RequestHead, body: bytes, timeout_s: float
    ) -> Response:
        """Sends a request and returns the complete response.

        Raises `ConnectError` if nothing was sent, and `ConnectionBrokenError` or
        `CallTimeoutError` if the server may have handled the request.
        """
        deadline = self._clock.monotonic() + timeout_s
        call = await self._pool.send(address, head, body)
        status, headers, parts = 0, Headers([]), []
        try:
            while True:
                event = await call.next(deadline - self._clock.monotonic())
                if isinstance(event, ResponseHead):
                    status, headers = event.status, event.headers
                elif isinstance(event, Chunk):
                    parts.append(event.data)
                elif isinstance(event, ResponseEnd):
                    return Response(status, headers, b"".join(parts))
                elif isinstance(event, Disconnected):
                    raise ConnectionBrokenError(f"{address}: {event.reason}")
        except CallTimeoutError as exc:
            raise CallTimeoutError(
                f"{address}: no response within {timeout_s:.1f} s"
            ) from exc
        finally:
            call.abort()
