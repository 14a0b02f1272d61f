"""Encodes records as MessagePack with a type name and a schema version."""

from collections.abc import Iterable

import msgspec

from ..errors import ErrorCode, PomeloshiftError
from ._record import Record

SCHEMA_VERSION = 1


class RecordError(PomeloshiftError):
    """Bytes read from the log are not a record of a known type and version."""

    code = ErrorCode.PROTOCOL_ERROR


class RecordCodec:
    """Encodes and decodes records of the given body types.

        codec = RecordCodec([ConfigPublished])
        codec.decode(codec.encode(record)) == record

    `decode` raises `RecordError` for bytes of another type or of a later schema
    version.
    """

    def __init__(self, body_types: Iterable[type]) -> None:
        self._types_by_name = {kind.__name__: kind for kind in body_types}
        self._envelope = msgspec.msgpack.Decoder(tuple[int, str, str, msgspec.Raw])

    def encode(self, record: Record) -> bytes:
        """Returns the encoded record; raises `RecordError` for another body type."""
        name = type(record.body).__name__
        if name not in self._types_by_name:
            raise RecordError(f"{name} is not a record type of this stream")
        return msgspec.msgpack.encode(
            (SCHEMA_VERSION, record.record_id, name, record.body)
        )

    def decode(self, data: bytes) -> Record:
        """Returns the record in ``data``; raises `RecordError`."""
        try:
            version, record_id, name, body = self._envelope.decode(data)
            if version > SCHEMA_VERSION:
                raise RecordError(
                    f"record has schema version {version}, newer than {SCHEMA_VERSION}"
                )
            kind = self._types_by_name[name]
            return Record(record_id, msgspec.msgpack.decode(body, type=kind))
        except (msgspec.DecodeError, KeyError, ValueError) as exc:
            raise RecordError(f"record cannot be decoded: {exc}") from exc
