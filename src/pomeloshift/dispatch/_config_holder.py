"""Keeps the newest configuration."""

import attrs

from ._serving_config import ServingConfig


@attrs.define
class ConfigHolder:
    """Holds the configuration with the highest version seen, and its age.

    The version never falls within the life of a process, whatever the store returns.
    """

    current: ServingConfig | None = None
    _confirmed_at: float = attrs.field(default=float("-inf"), init=False)

    def offer(self, config: ServingConfig) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if self.current is not None and config.version <= self.current.version:
            return False
        self.current = config
        return True

    def confirm(self, now: float) -> None:
        """Notes that at ``now`` the store held nothing newer."""
        self._confirmed_at = now

    def age(self, now: float) -> float:
        """Returns the seconds since the store last confirmed the configuration."""
        return now - self._confirmed_at
