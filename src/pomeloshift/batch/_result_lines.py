"""Encodes the lines of output and error files."""

from typing import Any

import msgspec

from ..errors import ErrorCode
from ._records import ItemCompleted, ItemStruck

Result = ItemCompleted | ItemStruck

CRASH_MESSAGE = "backend servers were lost repeatedly while they ran the item"


def result_line(custom_id: str, result: Result) -> bytes:
    """Returns the line of one finished item, including the newline."""
    fields: dict[str, Any] = {
        "id": f"batch_req_{result.job_id.rsplit('_', 1)[-1]}_{result.index}",
        "custom_id": custom_id,
        "response": _response(result),
        "error": _error(result),
    }
    return msgspec.json.encode(fields) + b"\n"


def _response(result: Result) -> dict[str, Any] | None:
    if isinstance(result, ItemStruck) or result.error is not None:
        return None
    return {
        "status_code": result.status,
        "request_id": result.attempt_id,
        "body": _json_or_text(result.body),
    }


def _error(result: Result) -> dict[str, Any] | None:
    if isinstance(result, ItemStruck):
        return {
            "code": ErrorCode.QUARANTINED.value,
            "message": CRASH_MESSAGE,
            "ran": "yes",
        }
    if result.error is None:
        return None
    error = result.error
    return {
        "code": error.code.value,
        "message": error.message,
        "ran": error.ran.value,
    }


def _json_or_text(body: bytes) -> Any:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode(errors="replace")
    return msgspec.Raw(body)
