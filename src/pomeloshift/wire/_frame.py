"""Numbered frames of an attempt's response and their encoding on a connection."""

import struct

import attrs
import msgspec

from ..errors import ErrorReport
from ._errors import WireError

FRAME_LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Frame:
    """One numbered frame of an attempt's response.

    ``payload`` is passed to the caller unchanged and holds ``tokens`` tokens. Only
    the last frame has ``total``, the number of frames including itself. Frame 0
    carries the HTTP status and content type of the engine's response.
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
    """Returns the encoded frame, prefixed with its length as 4 big-endian bytes."""
    body = _encoder.encode(frame)
    return struct.pack("!I", len(body)) + body


class FrameReader:
    """Splits a byte stream into frames.

    `feed` raises `WireError` for a frame that is too long or malformed.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Adds the next bytes and returns the frames that they complete."""
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
            raise WireError(
                f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            )
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
        raise WireError(f"cannot decode frame: {exc}") from exc
