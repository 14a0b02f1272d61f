"""An HTTP client that returns complete responses."""

from typing import Any

from ._connection_pool import ConnectionPool
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

# Limit of a response's body. The store's longest holds an item's body, which is
# limited to the 4 MiB of a caller's request.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class Client:
    """Makes HTTP calls over a connection pool.

    response = await client.call("10.0.0.1:80", RequestHead(...), b"", timeout_s=1.0)
    """

    def __init__(self, pool: ConnectionPool, clock: Any) -> None:
        self._pool = pool
        self._clock = clock

    async def call(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        timeout_s: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Response:
        """Sends a request and returns the complete response.

        Raises `ConnectError` if nothing was sent, and `ConnectionBrokenError` or
        `CallTimeoutError` if the server may have handled the request. A body of more
        than ``max_bytes`` counts as broken.
        """
        deadline = self._clock.monotonic() + timeout_s
        call = await self._pool.send(address, head, body)
        status, headers, content = 0, Headers([]), bytearray()
        try:
            while True:
                event = await call.next(deadline - self._clock.monotonic())
                if isinstance(event, ResponseHead):
                    status, headers = event.status, event.headers
                elif isinstance(event, Chunk):
                    content += event.data
                    if len(content) > max_bytes:
                        raise ConnectionBrokenError(
                            f"{address}: the body exceeds {max_bytes} bytes"
                        )
                elif isinstance(event, ResponseEnd):
                    return Response(status, headers, bytes(content))
                elif isinstance(event, Disconnected):
                    raise ConnectionBrokenError(f"{address}: {event.reason}")
        except CallTimeoutError as exc:
            raise CallTimeoutError(
                f"{address}: no response within {timeout_s:.1f} s"
            ) from exc
        finally:
            call.abort()
