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
# How long a response may arrive in all: one of the largest size at 2 Mbit/s.
MAX_TRANSFER_S = 32.0


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
        pause_s: float = 0.0,
    ) -> Response:
        """Sends a request and returns the complete response.

        The response has to be complete ``timeout_s`` seconds after the call, or still
        be arriving, with pauses of less than ``pause_s``: a large one on a slow path is
        then waited for, up to `MAX_TRANSFER_S` in all.

        Raises `ConnectError` if nothing was sent, and `ConnectionBrokenError` or
        `CallTimeoutError` if the server may have handled the request. A body of more
        than ``max_bytes`` counts as broken.
        """
        began_at = self._clock.monotonic()
        deadline = began_at + timeout_s
        last = max(deadline, began_at + MAX_TRANSFER_S)
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
                if pause_s > 0:
                    resumed_until = self._clock.monotonic() + pause_s
                    deadline = min(last, max(deadline, resumed_until))
        except CallTimeoutError as exc:
            took_s = self._clock.monotonic() - began_at
            raise CallTimeoutError(
                f"{address}: no response within {took_s:.1f} s"
                f" ({len(content)} bytes of it)"
            ) from exc
        finally:
            call.abort()
