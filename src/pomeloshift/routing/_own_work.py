"""What an entry itself changed at a backend server since the last report."""

from collections import deque

import attrs


@attrs.define
class OwnWork:
    """Tokens of this entry that run now, and the changes that no report shows yet."""

    running: int = 0
    unreported: int = 0
    changes: deque[tuple[float, int]] = attrs.field(factory=deque)

    def add(self, tokens: int, now: float) -> None:
        """Notes work that was started, or ended if ``tokens`` is negative."""
        self.changes.append((now, tokens))
        self.unreported += tokens
        self.running += tokens

    def drop_until(self, until: float) -> None:
        """Forgets the changes that a report made at ``until`` shows."""
        while self.changes and self.changes[0][0] <= until:
            self.unreported -= self.changes.popleft()[1]

    @property
    def reported(self) -> int:
        """The tokens of this entry that the last report shows."""
        return self.running - self.unreported
