"""The error for messages that cannot be decoded."""

from ..errors import ErrorCode, PomeloshiftError


class WireError(PomeloshiftError):
    """Bytes from another process cannot be decoded as a message of this protocol."""

    code = ErrorCode.PROTOCOL_ERROR
