"""Finds out how many sequences the engine runs at a time."""

import attrs

STUCK_STEPS = 8
HEADROOM = 4
REGROWTH_PER_S = 0.1


@attrs.define
class SlotLimit:
    """The most streams that the engine is known to decode at a time.

    A batch stream that waits for its first token for many steps, although little is
    left to read, shows that the engine has no place for it. The limit then falls to
    the streams that decode, and grows again slowly in case of an error.
    """

    slots: float = float("inf")
    _at: float = 0.0

    def observe_full(self, decoding: int) -> None:
        """Learns that the engine had no place beside ``decoding`` streams."""
        self.slots = min(self.slots, float(max(1, decoding)))

    def advance(self, now: float) -> None:
        """Lets the limit grow with time."""
        self.slots += REGROWTH_PER_S * max(0.0, now - self._at)
        self._at = now

    def batch_room(self, online: int) -> float:
        """Returns how many batch streams leave places for arrivals free."""
        return self.slots - HEADROOM - online

    def batch_bound(self, online: int) -> float:
        """Returns how many batch streams fit beside the online ones at most."""
        return self.slots - online
