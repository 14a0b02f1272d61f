"""Chooses the way to the store: straight, or through another entry."""

from random import Random

import attrs

DIRECT = ""
# A relay that failed is left alone for this long, about two of its calls' time-outs.
RELAY_PAUSE_S = 2.0


@attrs.define
class StorePath:
    """Remembers which ways to the store work.

    The store may turn some instances away while it serves others. Then calls go through
    an entry that it serves; such a call is the same call, with the same producer and
    number, so that it matters not which way an unanswered one went.
    """

    _random: Random
    is_direct: bool = True
    _relays: frozenset[str] = frozenset()
    _relay: str = DIRECT
    _paused: dict[str, float] = attrs.field(factory=dict)

    def set_relays(self, addresses: frozenset[str]) -> None:
        """Takes the addresses of the entries that reach the store straight."""
        self._relays = addresses
        if self._relay not in addresses:
            self._relay = DIRECT

    def choose(self, now: float) -> str:
        """Returns `DIRECT` or the address of a relay."""
        if self.is_direct:
            return DIRECT
        if self._relay == DIRECT:
            fit = [r for r in sorted(self._relays) if self._paused.get(r, now) <= now]
            self._relay = self._random.choice(fit) if fit else DIRECT
        return self._relay

    def failed(self, way: str, now: float) -> None:
        """Notes that a call found no answer, or was turned away, on a way."""
        if way == DIRECT:
            self.is_direct = False
            return
        self._paused[way] = now + RELAY_PAUSE_S
        if way == self._relay:
            self._relay = DIRECT

    def worked(self, way: str) -> None:
        """Notes that the store answered on a way."""
        if way == DIRECT:
            self.is_direct = True
