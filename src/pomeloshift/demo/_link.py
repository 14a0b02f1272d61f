"""The link of limited bandwidth between two regions."""

import attrs


@attrs.define
class Link:
    """One direction of a link, whose bandwidth all connections share.

    ``bytes_sent`` counts the bytes sent since the start.
    """

    bytes_per_s: float
    bytes_sent: int = 0
    _free_at: float = attrs.field(default=0.0, init=False)

    def departure(self, size: int, now: float) -> float:
        """Returns the time at which the last of ``size`` bytes sent at ``now`` leaves.

        Transfers queue behind each other; times are in seconds.
        """
        start = max(now, self._free_at)
        self._free_at = start + size / self.bytes_per_s
        self.bytes_sent += size
        return self._free_at
