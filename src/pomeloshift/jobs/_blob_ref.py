"""References to blobs in the store."""

import msgspec

from ._fragments import KEY_SEPARATOR


class BlobRef(msgspec.Struct, array_like=True, frozen=True):
    """The key of a blob, the offset of its first record, and its size in bytes.

    ``parts`` is the number of records that hold the blob.
    """

    key: str
    offset: int
    size: int
    parts: int

    def fragment_keys(self) -> list[str]:
        """Returns the keys of the records that hold the blob, in order."""
        return [f"{self.key}{KEY_SEPARATOR}{n}" for n in range(self.parts)]
