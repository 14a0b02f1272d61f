"""Resume tokens, which hold the output of earlier runs of items."""

ItemKey = tuple[str, int]


class ResumeStore:
    """Holds the latest resume tokens of items, up to a total size in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._tokens: dict[ItemKey, bytes] = {}
        self._bytes = 0

    def get(self, key: ItemKey) -> bytes:
        """Returns the token of an item, or empty bytes if there is none."""
        return self._tokens.get(key, b"")

    def put(self, key: ItemKey, token: bytes) -> None:
        """Replaces the token of an item; an empty or too large one is not stored."""
        self.remove(key)
        if not token or len(token) > self._max_bytes:
            return
        self._tokens[key] = token
        self._bytes += len(token)
        while self._bytes > self._max_bytes:
            self.remove(next(iter(self._tokens)))

    def remove(self, key: ItemKey) -> None:
        """Removes the token of an item, if there is one."""
        self._bytes -= len(self._tokens.pop(key, b""))

    def remove_job(self, job_id: str) -> None:
        """Removes the tokens of a job's items."""
        for key in [key for key in self._tokens if key[0] == job_id]:
            self.remove(key)
