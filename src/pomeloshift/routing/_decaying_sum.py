"""A sum whose amounts decay exponentially."""

import math

import attrs


@attrs.define
class DecayingSum:
    """Adds amounts that decay with the time constant ``decay_s`` in seconds."""

    decay_s: float
    _value: float = attrs.field(init=False, default=0.0)
    _at: float = attrs.field(init=False, default=0.0)

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at ``now``, which is not before the last call's."""
        self._value = self.at(now) + amount
        self._at = now

    def at(self, now: float) -> float:
        """Returns the sum at ``now``, which is not before the last amount's time."""
        return self._value * math.exp((self._at - now) / self.decay_s)
