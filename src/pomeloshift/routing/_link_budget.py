"""The bytes that one priority class may send over the inter-region link."""

import attrs


@attrs.define
class LinkBudget:
    """A token bucket in bytes that may be overdrawn by one request."""

    bytes_per_s: float
    burst_bytes: float
    _level: float = attrs.field(init=False)
    _filled_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._level = self.burst_bytes

    def resize(self, bytes_per_s: float, burst_bytes: float) -> None:
        """Applies a new rate and burst."""
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self._level = min(self._level, burst_bytes)

    def allows(self, size: int, now: float) -> bool:
        """Returns whether ``size`` bytes may be sent.

        A size above the burst is allowed when the bucket is full.
        """
        self._fill(now)
        return self._level >= min(size, self.burst_bytes) and self._level > 0

    def spend(self, size: int, now: float) -> None:
        """Takes ``size`` bytes; the level may become negative."""
        self._fill(now)
        self._level -= size

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self.bytes_per_s
            self._level = min(self.burst_bytes, self._level + gained)
        self._filled_at = now
