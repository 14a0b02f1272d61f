"""What a listener asks of a budget of memory for its callers."""

from enum import Enum
from typing import Any
from typing import Protocol as Interface

from ._messages import RequestHead


class Grant(Enum):
    """Whether memory is granted: now, later by a call back, or not at all."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"


class ConnectionMemory(Interface):
    """The memory of one connection; sizes are in bytes, times in seconds."""

    unread_s: float

    def note_head(self, head: RequestHead) -> None:
        """Records the head of the request that is read."""

    def note_received(self, size: int) -> None:
        """Records bytes that have arrived."""

    def begin_head(self) -> bool:
        """Reserves memory for an incomplete head; False if there is none."""

    def begin_body(self, length: int | None) -> Grant:
        """Reserves memory for an incomplete body, None if its length is unknown.

        If it waits, `ServerConnection.proceed` or `refuse` follows.
        """

    def begin_long_body(self, max_length: int) -> Grant:
        """Reserves memory for a body of unknown length that is not small."""

    def dispatch(self, size: int) -> bool:
        """Holds a complete request; False if there is no memory for it."""

    def hold_pipelined(self, size: int) -> bool:
        """Holds bytes after a complete request; False if there is no memory."""

    def hold_response(self, size: int) -> bool:
        """Holds what the caller has not read; False if there is no memory."""

    async def hold_decoded(self, size: int) -> bool:
        """Waits for memory to decode a request; False if there is none."""
        ...

    def end(self) -> None:
        """Releases the request, whose response has been written."""

    def body_time_left(self, is_reading: bool) -> float:
        """Returns the time in which the next bytes of the body must arrive.

        Time in which the connection is not read does not count.
        """

    def close(self) -> None:
        """Releases everything: the connection has ended."""

    def note_unread(self, unsent: int) -> None:
        """Records that the caller is disconnected because it has read nothing."""


class CallerMemory(Interface):
    """A budget of memory that all connections of a listener share."""

    retry_after_s: float
    small_body: int
    socket_buffer: int

    def open(self, connection: Any) -> ConnectionMemory | None:
        """Returns the memory of a new connection, None if there is none for it."""

    def make_room(self) -> bool:
        """Closes the connection with the least progress; False without any."""


class UnlimitedMemory:
    """The memory of a connection whose listener has no budget."""

    unread_s = float("inf")

    def note_head(self, head: RequestHead) -> None:
        """Does nothing."""

    def note_received(self, size: int) -> None:
        """Does nothing."""

    def begin_head(self) -> bool:
        """Grants it."""
        return True

    def begin_body(self, length: int | None) -> Grant:
        """Grants it."""
        return Grant.GRANTED

    def begin_long_body(self, max_length: int) -> Grant:
        """Grants it."""
        return Grant.GRANTED

    def dispatch(self, size: int) -> bool:
        """Grants it."""
        return True

    def hold_pipelined(self, size: int) -> bool:
        """Grants it."""
        return True

    def hold_response(self, size: int) -> bool:
        """Grants it."""
        return True

    async def hold_decoded(self, size: int) -> bool:
        """Grants it."""
        return True

    def end(self) -> None:
        """Does nothing."""

    def body_time_left(self, is_reading: bool) -> float:
        """Returns an unlimited time."""
        return float("inf")

    def close(self) -> None:
        """Does nothing."""

    def note_unread(self, unsent: int) -> None:
        """Does nothing."""
