"""Encodes configurations for the log and for control messages."""

import msgspec

from ..errors import ErrorCode, PomeloshiftError
from ._configuration import Configuration


class ConfigDocumentError(PomeloshiftError):
    """The bytes are not an encoded configuration."""

    code = ErrorCode.PROTOCOL_ERROR


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(cfg: Configuration) -> bytes:
    """Returns the configuration as MessagePack; equal ones give equal bytes."""
    return _encoder.encode(cfg)


def decode_configuration(document: bytes) -> Configuration:
    """Returns the configuration in ``document``; raises `ConfigDocumentError`."""
    try:
        return _decoder.decode(document)
    except (msgspec.DecodeError, ValueError) as exc:
        raise ConfigDocumentError(f"configuration cannot be decoded: {exc}") from exc
