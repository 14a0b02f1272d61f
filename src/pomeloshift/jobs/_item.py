"""The items of a job and their results."""

from enum import Enum

import attrs

from ._blob_ref import BlobRef

# A job's id and the item's position in it.
ItemKey = tuple[str, int]


class ItemState(Enum):
    """The terminal state of an item."""

    DONE = "done"
    DEAD = "dead"


@attrs.frozen
class Item:
    """A request of a job, with a reference to its stored body.

    ``tokens`` is the sum of its prompt tokens and its largest number of output tokens.
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: BlobRef
    tokens: int


@attrs.frozen
class NewItem:
    """An item as a caller submits it, with the body itself."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@attrs.frozen
class Result:
    """The result of an item; ``text`` refers to its output if it is done, else None."""

    item_id: str
    state: ItemState
    text: BlobRef | None
