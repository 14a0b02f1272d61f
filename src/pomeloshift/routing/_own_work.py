"""What an entry itself changed at a backend server since the last report."""

from collections import deque

import attrs


@attrs.define
class OwnWork:
    """Tokens that this entry added or took away, and that no report shows yet."""

    changes: deque[tuple[float, int]] = attrs.field(factory=deque)
    tokens: int = 0

    def add(self, tokens: int, now: float) -> None:
        """Notes a change of the load."""
        self.changes.append((now, tokens))
        self.tokens += tokens

    def drop_until(self, until: float) -> None:
        """Forgets the changes that a report made at ``until`` shows."""
        while self.changes and self.changes[0][0] <= until:
            self.tokens -= self.changes.popleft()[1]
