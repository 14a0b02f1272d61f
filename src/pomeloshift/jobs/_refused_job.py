"""A job whose record exceeded the cap."""

import attrs

from ._blob_ref import BlobRef


@attrs.define(eq=False)
class RefusedJob:
    """A job record that did not fit under its cap where it is in the log.

    ``offset`` is the record's own, ``keys`` are those of its fragments, and ``bodies``
    refer to the bodies that were stored for it. ``waiting`` is the sum of the tokens
    before it. ``seen_at`` is in monotonic seconds. ``is_removed`` is set once the
    removal of the record was replayed.
    """

    job_id: str
    queue: str
    workspace: str
    tokens: int
    waiting: int
    cap: int
    offset: int
    keys: tuple[str, ...]
    bodies: tuple[BlobRef, ...]
    seen_at: float
    is_removed: bool = False
