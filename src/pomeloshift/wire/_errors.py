"""The failure of reading a message."""

from ..errors import ErrorCode, PomeloshiftError


class WireError(PomeloshiftError):
    """Bytes from another process are not a message of this protocol."""

    code = ErrorCode.PROTOCOL_ERROR
