"""Holds the newest configuration."""

import attrs

from ._serving_config import ServingConfig


@attrs.define
class ConfigHolder:
    """Holds the configuration with the highest version seen.

    ``confirmed_at`` is the monotonic time at which the store last confirmed that
    configuration, minus infinity before the first time.
    ``current`` is `None` until the first configuration is offered. Its version never
    decreases while the process runs, even if the store returns an older one.
    """

    current: ServingConfig | None = None
    confirmed_at: float = attrs.field(default=float("-inf"), init=False)

    def offer(self, config: ServingConfig) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if self.current is not None and config.version <= self.current.version:
            return False
        self.current = config
        return True

    def confirm(self, now: float) -> None:
        """Records that at ``now`` the store held no newer configuration."""
        self.confirmed_at = now

    def age(self, now: float) -> float:
        """Returns the seconds since the last `confirm`, infinity before the first."""
        return now - self.confirmed_at
