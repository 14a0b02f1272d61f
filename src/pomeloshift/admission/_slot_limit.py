"""Detects how many sequences the engine runs concurrently."""

import attrs

STUCK_STEPS = 8
HEADROOM = 4  # slots
REGROWTH_PER_S = 0.1  # slots per second


@attrs.define
class SlotLimit:
    """The number of sequences that the engine can decode, infinity until known.

    A batch stream that gets no first token for many steps, although little prefill
    is left, shows that the engine has no slot for it. The limit is then lowered to
    the number of decoding streams. The limit grows again slowly, in case the engine
    had a slot after all.
    """

    slots: float = float("inf")
    _at: float = 0.0

    def observe_full(self, decoding: int) -> None:
        """Lowers the limit: the engine had no free slot at ``decoding`` streams."""
        self.slots = min(self.slots, float(max(1, decoding)))

    def advance(self, now: float) -> None:
        """Raises the limit by the time since the last call."""
        self.slots += REGROWTH_PER_S * max(0.0, now - self._at)
        self._at = now

    def batch_capacity(self, online: int) -> float:
        """Returns the number of batch streams up to which more are started.

        `HEADROOM` slots stay free for arrivals beside ``online`` running streams.
        """
        return self.slots - HEADROOM - online

    def batch_bound(self, online: int) -> float:
        """Returns how many batch streams fit beside ``online`` running streams."""
        return self.slots - online
