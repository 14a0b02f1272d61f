"""The token with which a cancelled stream resumes."""

import base64
import binascii

import attrs
import msgspec

from ._errors import ResumeMismatchError


@attrs.frozen
class ResumePoint:
    """Where a stream resumes: the tokens of its output that exist already.

    ``seed`` is that of the `Generation` and identifies the model and the prompt.
    """

    seed: int
    done_tokens: int

    def encode(self) -> bytes:
        """Returns the token as URL-safe Base64, for the ``x-resume`` header."""
        return base64.urlsafe_b64encode(msgspec.msgpack.encode(self))


def decode_resume(token: bytes, seed: int) -> int:
    """Returns the number of tokens that exist already.

    Raises `ResumeMismatchError` if the token is unreadable or has another seed.
    """
    try:
        raw = base64.urlsafe_b64decode(token)
        point = msgspec.msgpack.decode(raw, type=ResumePoint)
    except (binascii.Error, ValueError, msgspec.MsgspecError) as exc:
        raise ResumeMismatchError("the resume token cannot be read") from exc
    if point.seed != seed:
        raise ResumeMismatchError("the resume token belongs to another request")
    return point.done_tokens
