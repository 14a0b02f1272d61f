"""Finds what heartbeats have to repeat."""

from collections.abc import Mapping
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.define
class RecentChanges(Generic[T]):
    """Tracks which values of a mapping changed within the last ``recent_s`` seconds.

    changes = RecentChanges(0.3)
    changes.update({"i-0": 1}, now)  # {"i-0": 1}
    changes.update({"i-0": 1}, now + 1.0)  # {}
    """

    recent_s: float
    _known: Mapping[str, T] = attrs.field(factory=dict)
    _changed_at: dict[str, float] = attrs.field(factory=dict)

    def update(self, values: Mapping[str, T], now: float) -> dict[str, T]:
        """Records all values at ``now``; returns those that changed recently."""
        if values is not self._known:
            self._note_changes(values, now)
        return self.recent(now, self.recent_s)

    def recent(self, now: float, within_s: float) -> dict[str, T]:
        """Returns the values of the last update that changed within a time."""
        since = now - within_s
        changed = self._changed_at.items()
        return {key: self._known[key] for key, at in changed if at >= since}

    def _note_changes(self, values: Mapping[str, T], now: float) -> None:
        for key, value in values.items():
            if value != self._known.get(key):
                self._changed_at[key] = now
        for key in self._changed_at.keys() - values.keys():
            del self._changed_at[key]
        self._known = values
