"""Requests that a server has received, and their responses."""

from collections.abc import Callable
from typing import Any

from ._messages import HeaderList, RequestHead


class Exchange:
    """One request and its response.

    ``arrived_at`` is the monotonic time in seconds at which the request was complete.
    ``is_over`` is set once the response is complete or the connection has ended.
    ``on_disconnect`` is called if the caller disconnects before the response is
    complete. ``on_pause`` is called with True when the caller reads too slowly, at once
    if it already does, and with False when it has caught up.
    """

    def __init__(
        self,
        conn: Any,
        head: RequestHead,
        body: bytes,
        arrived_at: float,
    ) -> None:
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.is_over = False
        self.on_disconnect: Callable[[], None] = _do_nothing
        self._on_pause: Callable[[bool], None] = _ignore
        self._conn = conn

    @property
    def is_paused(self) -> bool:
        """Whether the caller currently reads too slowly."""
        return self._conn.is_paused

    async def hold_decoded(self, size: int) -> bool:
        """Waits for ``size`` bytes to decode the request; False if there are none."""
        return await self._conn.memory.hold_decoded(size)

    @property
    def on_pause(self) -> Callable[[bool], None]:
        """What pauses and resumes the source of the response."""
        return self._on_pause

    @on_pause.setter
    def on_pause(self, on_pause: Callable[[bool], None]) -> None:
        self._on_pause = on_pause
        if self.is_paused:
            on_pause(True)

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Sends a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def start(self, status: int, headers: HeaderList) -> None:
        """Sends the head of a response; without a length its body is sent chunked."""
        self._conn.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._conn.send_data(data)

    def finish(self) -> None:
        """Ends the response, which is now complete."""
        self.is_over = True
        self._conn.end_response()

    def abort(self) -> None:
        """Closes the connection so that the response cannot look complete."""
        self.is_over = True
        self._conn.abort()


def _do_nothing() -> None:
    pass


def _ignore(is_paused: bool) -> None:
    pass
