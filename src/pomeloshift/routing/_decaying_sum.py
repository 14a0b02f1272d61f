"""A sum in which older amounts count less."""

import math

import attrs


@attrs.define
class DecayingSum:
    """Amounts fade with the time constant ``fade_s`` in seconds."""

    fade_s: float
    _value: float = attrs.field(init=False, default=0.0)
    _at: float = attrs.field(init=False, default=0.0)

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self._value = self.at(now) + amount
        self._at = now

    def at(self, now: float) -> float:
        """Returns the sum at a time that is not before the last amount's."""
        return self._value * math.exp((self._at - now) / self.fade_s)
