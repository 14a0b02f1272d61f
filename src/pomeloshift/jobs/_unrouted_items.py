"""Decides when items whose route has ended are given up."""

from collections.abc import Collection

import attrs

from ._item import ItemKey

# How long an item without a route waits for one, in seconds: operators who take a route
# out by mistake put it back in one of the next versions.
UNROUTED_S = 5.0


@attrs.define
class UnroutedItems:
    """Tracks since when items have had no route.

    An entry's configuration may be older than the one under which a job was accepted.
    An item is therefore given up only if the store has confirmed a configuration
    without its route `UNROUTED_S` after the item was first seen without one: longer
    than any read of the configuration takes.
    """

    _since: dict[ItemKey, float] = attrs.field(factory=dict)

    def update(self, keys: Collection[ItemKey], now: float) -> None:
        """Sets which items have no route at ``now`` (monotonic seconds)."""
        self._since = {key: self._since.get(key, now) for key in keys}

    def ended(self, confirmed_at: float) -> list[ItemKey]:
        """Returns the items to give up, in a stable order.

        ``confirmed_at`` is the monotonic time at which the store last confirmed the
        configuration.
        """
        return sorted(
            key
            for key, since in self._since.items()
            if confirmed_at >= since + UNROUTED_S
        )
