"""Request and response bodies of the batch interface."""

import base64
from collections.abc import Sequence

import msgspec

from ..jobs import ItemState, NewItem, Result
from ._engine_request import item_request
from ._errors import UNREADABLE, MalformedError


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str
    tokens: int = 0
    headers: dict[str, str] = {}


class _Job(msgspec.Struct):
    items: list[_Item]


# Sums of tokens stay exact, and fit into the records of jobs.
MAX_TOKENS = 2**40

# Most bytes that a submission takes while it is decoded and stored: for each of its own
# bytes, and for each quote, because small strings take more than their length. Measured
# in a gateway: 4.5 for bodies of 3 MB, and 65 for each quote with 110,000 small items.
DECODED_BYTES = 4
QUOTE_BYTES = 64

_DECODER = msgspec.json.Decoder(_Job, strict=False)
STATE_NAMES = {ItemState.DONE: "completed", ItemState.DEAD: "dead_letter"}


def decoding_cost(body: bytes) -> int:
    """Returns the bytes that a submitted job takes beside its body while it is stored.

    decoding_cost(b'{"items":[]}') == 12 * 4 + 2 * 64
    """
    return len(body) * DECODED_BYTES + body.count(b'"') * QUOTE_BYTES


def decode_items(body: bytes) -> tuple[NewItem, ...]:
    """Returns the items of a submitted job; raises `MalformedError`."""
    try:
        wire = _DECODER.decode(body)
        if not all(0 <= item.tokens <= MAX_TOKENS for item in wire.items):
            raise ValueError("the tokens of an item are out of range")
        items = tuple(
            NewItem(
                item.id,
                item.path,
                tuple(item.headers.items()),
                base64.b64decode(item.body, validate=True),
                item.tokens,
            )
            for item in wire.items
        )
        for item in items:
            _check_request(item)
    except UNREADABLE as exc:
        raise MalformedError(f"the job cannot be read: {exc}") from exc
    return items


def _check_request(item: NewItem) -> None:
    """Raises `ValueError` if an item cannot be sent to an engine as a request."""
    head = item_request("host", item.path, item.id, item.headers, "engine", None)
    fault = head.find_fault()
    if fault is not None:
        raise ValueError(f"item {item.id!r}: HTTP does not allow {fault}")


def encode_results(
    total: int, position: int, results: Sequence[tuple[Result, bytes]]
) -> bytes:
    """Returns the response to a read of a job's results, given with their texts.

    ``total`` is the number of the job's items, and ``position`` that of the first
    result.
    """
    rows = [
        {"id": r.item_id, "state": STATE_NAMES[r.state], "text": text.decode()}
        for r, text in results
    ]
    # Here `nextToken` is the next position to read; requests for tokens use the field
    # for something else.
    next_position = position + len(rows)
    return msgspec.json.encode(
        {"total": total, "nextToken": next_position, "results": rows}
    )
