"""Reads a streamed response."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
# Error codes of the load tool itself: the stream ended before its end marker, and an
# event or an error body is not the expected JSON.
CUT = "cut"
UNREADABLE = "unreadable"


class StreamedResponse(Protocol):
    """Calls ``on_token`` for each event with a token.

    ``ended`` fires with `None` after a complete response, or with an error code.
    """

    def __init__(self, on_token: Callable[[], None]) -> None:
        self.ended: Deferred[str | None] = Deferred()
        self._on_token = on_token
        self._buffer = b""
        self._is_complete = False
        self._error: str | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles the events that are now complete."""
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        for event in events:
            if event.startswith(EVENT_PREFIX):
                self._handle_event(event[len(EVENT_PREFIX) :])

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fires ``ended``."""
        if self._error is not None:
            self.ended.callback(self._error)
            return
        is_closed = reason is None or reason.check(ResponseDone) is not None
        self.ended.callback(None if self._is_complete and is_closed else CUT)

    def _handle_event(self, event: bytes) -> None:
        if event == END_OF_STREAM:
            self._is_complete = True
            return
        try:
            fields = msgspec.json.decode(event, type=dict[str, Any])
        except msgspec.MsgspecError:
            self._error = UNREADABLE
            return
        if "error" in fields:
            self._error = error_code(fields)
        elif _has_token(fields):
            self._on_token()


def _has_token(fields: dict[str, Any]) -> bool:
    return any(
        (choice.get("delta") or {}).get("content") or choice.get("text")
        for choice in fields.get("choices", ())
    )


def error_code(fields: dict[str, Any]) -> str:
    """Returns the code in the JSON of an error, or ``"unreadable"``."""
    error = fields.get("error")
    return str(error.get("code")) if isinstance(error, dict) else UNREADABLE
