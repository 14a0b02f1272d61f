"""Sends a large body without a copy of the whole."""

from typing import Any

# Bytes that are written at once; smaller bodies are written with their head.
SLICE_BYTES = 64 * 1024


class BodySender:
    """A pull producer that writes a body in slices, each once the last one is sent.

    A transport joins what is written at once, so that the body would be held twice.
    ``is_done`` is set once the transport has passed on the last slice.
    """

    def __init__(self, transport: Any, body: bytes) -> None:
        self._transport = transport
        self._body = body
        self._sent = 0
        self.is_done = False

    def start(self) -> None:
        """Begins to send the body."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Writes the next slice; called once the last one has been passed on."""
        if self._sent < len(self._body):
            self._write(SLICE_BYTES)
        else:
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Called when the connection has ended."""
        self.is_done = True
        self._body = b""

    def flush(self) -> None:
        """Writes the rest, because something else has to follow it."""
        if not self.is_done:
            self._write(len(self._body))
            self._finish()

    def _write(self, size: int) -> None:
        data = self._body[self._sent : self._sent + size]
        self._sent += len(data)
        if data:
            self._transport.write(data)

    def _finish(self) -> None:
        self.stopProducing()
        self._transport.unregisterProducer()
