"""Numbered frames of an attempt's answer and their form on a connection."""

import struct

import attrs
import msgspec

from ..errors import ErrorReport
from ._errors import WireError

FRAME_LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Frame:
    """One numbered piece of an attempt's answer.

    ``payload`` is passed to the caller unchanged and holds ``tokens`` tokens. The
    last frame has ``total`` set to the number of frames, its own included. Frame 0
    carries the HTTP status and content type of the engine's answer.
    """

    attempt_id: str
    sequence: int
    payload: bytes = b""
    tokens: int = 0
    total: int | None = None
    status: int = 200
    content_type: str = ""
    error: ErrorReport | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Returns the frame behind its length in network byte order."""
    body = _encoder.encode(frame)
    return struct.pack("!I", len(body)) + body


class FrameReader:
    """Cuts a byte stream into frames.

    Raises `WireError` for a frame that is too long or not readable.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Takes the next bytes and returns the frames that are now whole."""
        self._buffer += data
        frames = []
        while (body := self._next_body()) is not None:
            frames.append(_decode_frame(body))
        return frames

    def _next_body(self) -> bytes | None:
        if len(self._buffer) < FRAME_LENGTH_BYTES:
            return None
        (length,) = struct.unpack_from("!I", self._buffer)
        if length > MAX_FRAME_BYTES:
            raise WireError(f"a frame of {length} bytes is longer than allowed")
        end = FRAME_LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[FRAME_LENGTH_BYTES:end])
        del self._buffer[:end]
        return body


def _decode_frame(body: bytes) -> Frame:
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise WireError(f"a frame cannot be read: {exc}") from exc
