"""An item of a job and its result."""

from enum import Enum

import attrs

from ._blob_ref import BlobRef

# A job's id and the item's position in it.
ItemKey = tuple[str, int]


class ItemState(Enum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"


@attrs.frozen
class Item:
    """A request to be run later; ``tokens`` are its prompt and most output tokens."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: BlobRef
    tokens: int


@attrs.frozen
class NewItem:
    """An item as a caller submits it, with its body."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@attrs.frozen
class Result:
    """What became of an item; ``text`` says where its output is if it is done."""

    item_id: str
    state: ItemState
    text: BlobRef | None
