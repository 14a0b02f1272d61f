"""The slow link between regions."""

import attrs


@attrs.define
class Link:
    """One direction of a link with limited bandwidth that many connections share.

    ``bytes_sent`` counts what crossed it since the start.
    """

    bytes_per_s: float
    bytes_sent: int = 0
    _free_at: float = attrs.field(default=0.0, init=False)

    def departure(self, size: int, now: float) -> float:
        """Returns when the last of ``size`` bytes sent at ``now`` has left."""
        start = max(now, self._free_at)
        self._free_at = start + size / self.bytes_per_s
        self.bytes_sent += size
        return self._free_at
