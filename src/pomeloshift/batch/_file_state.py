"""What is known of a file."""

from array import array

import attrs


@attrs.define
class FileState:
    """A file; ``chunks`` holds the offsets of the records with its content.

    ``record_ids`` names the records that created it, so that a late repeat of one
    does not bring back a file that was deleted.
    """

    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    created_at: float
    chunks: array
    record_ids: set[str]
