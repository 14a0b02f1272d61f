"""The tokens of an entry's own requests at a backend server."""

from collections import deque

import attrs


@attrs.define
class OwnTokens:
    """This entry's running tokens, and the part that no report includes yet.

    ``changes`` holds the unreported changes as (time, tokens), oldest first.
    """

    running: int = 0
    unreported: int = 0
    changes: deque[tuple[float, int]] = attrs.field(factory=deque)

    def add(self, tokens: int, now: float) -> None:
        """Records the tokens of a started request, negative for an ended one."""
        self.changes.append((now, tokens))
        self.unreported += tokens
        self.running += tokens

    def drop_reported(self, until: float) -> None:
        """Drops the changes up to ``until``, which the last report includes."""
        while self.changes and self.changes[0][0] <= until:
            self.unreported -= self.changes.popleft()[1]

    @property
    def reported(self) -> int:
        """This entry's running tokens that the last report includes."""
        return self.running - self.unreported
