"""The token with which a stream goes on after a cancel."""

import base64
import binascii

import attrs
import msgspec

from ._errors import ResumeMismatchError


@attrs.frozen
class ResumePoint:
    """How many tokens of which answer exist already."""

    seed: int
    done_tokens: int

    def encode(self) -> bytes:
        """Returns the form that fits into a header."""
        return base64.urlsafe_b64encode(msgspec.msgpack.encode(self))


def decode_resume(token: bytes, seed: int) -> int:
    """Returns the tokens done, or raises `ResumeMismatchError`."""
    try:
        raw = base64.urlsafe_b64decode(token)
        point = msgspec.msgpack.decode(raw, type=ResumePoint)
    except (binascii.Error, ValueError, msgspec.MsgspecError) as exc:
        raise ResumeMismatchError("the resume token cannot be read") from exc
    if point.seed != seed:
        raise ResumeMismatchError("the resume token belongs to another request")
    return point.done_tokens
