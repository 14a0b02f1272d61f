"""The body of a request while it is read."""

from io import BytesIO


class BodyBuffer:
    """Collects the pieces of a body in one buffer.

    A list of pieces would take several times the body's size if they are small, and
    joining it another time. ``getvalue`` of a `BytesIO` returns its buffer uncopied.
    """

    def __init__(self) -> None:
        self._buffer = BytesIO()
        self.size = 0

    def append(self, piece: bytes | bytearray) -> None:
        """Appends a piece."""
        self.size += self._buffer.write(piece)

    def take(self) -> bytes:
        """Returns the body; the buffer is used up."""
        return self._buffer.getvalue()
