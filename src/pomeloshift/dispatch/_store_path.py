"""Chooses the path to the store: directly or through a relay."""

from random import Random

import attrs

DIRECT = ""
# A relay that failed is not used for this long: about two time-outs of relayed calls.
RELAY_BACKOFF_S = 2.0


@attrs.define
class StorePath:
    """Tracks which paths to the store work.

    The store may reject some instances while it serves others. A rejected instance
    sends its calls through a relay, an entry that the store serves. A relayed call
    has the same producer and number as a direct one, so a call without a response
    can be retried on either path.
    """

    _random: Random
    is_direct: bool = True
    _relays: frozenset[str] = frozenset()
    _relay: str = DIRECT
    _retry_at: dict[str, float] = attrs.field(factory=dict)

    def set_relays(self, addresses: frozenset[str]) -> None:
        """Sets the addresses of the entries that reach the store directly."""
        self._relays = addresses
        if self._relay not in addresses:
            self._relay = DIRECT

    def choose(self, now: float) -> str:
        """Returns the path for the next call: `DIRECT` or the address of a relay.

        A relay is returned only if the direct path failed and a relay is available.
        """
        if self.is_direct:
            return DIRECT
        if self._relay == DIRECT:
            available = [
                r for r in sorted(self._relays) if self._retry_at.get(r, now) <= now
            ]
            self._relay = self._random.choice(available) if available else DIRECT
        return self._relay

    def record_failure(self, path: str, now: float) -> None:
        """Records that a call on a path got no response or was rejected."""
        if path == DIRECT:
            self.is_direct = False
            return
        self._retry_at[path] = now + RELAY_BACKOFF_S
        if path == self._relay:
            self._relay = DIRECT

    def record_success(self, path: str) -> None:
        """Records that the store responded on a path."""
        if path == DIRECT:
            self.is_direct = True
