"""The interface of the configuration service for the administration API."""

from typing import Protocol

from ..config import ConfigState, Configuration


class ConfigPublisher(Protocol):
    """The part of the entry's configuration service that is used here."""

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, `None` before the first publication."""

    @property
    def version(self) -> int:
        """The version in force, 0 before the first publication."""

    @property
    def state(self) -> ConfigState:
        """The state replayed from the configuration stream."""

    async def publish(
        self, cfg: Configuration, base_version: int, author: str, note: str = ""
    ) -> int:
        """Publishes a configuration and returns its version.

        Raises `ConfigConflictError` if ``base_version`` is not in force.
        """

    async def refresh(self) -> None:
        """Reads the configuration stream to its end and applies new records."""
