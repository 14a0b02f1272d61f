"""The replayed state of a file."""

from array import array

import attrs


@attrs.define
class FileState:
    """A file; ``chunks`` holds the offsets of the records with its content.

    ``record_ids`` holds the ids of the records that created the file, so that a late
    duplicate of such a record does not recreate the file after it was deleted. ``size``
    is in bytes, and ``created_at`` in wall-clock seconds.
    """

    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    created_at: float
    chunks: array
    record_ids: set[str]
