"""What the administration API needs from the configuration service."""

from typing import Protocol

from ..config import ConfigState, Configuration


class ConfigPublisher(Protocol):
    """The part of the entry's configuration service that is used here."""

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""

    @property
    def version(self) -> int:
        """The version in force."""

    @property
    def state(self) -> ConfigState:
        """The fold of the configuration stream."""

    async def publish(
        self, cfg: Configuration, base_version: int, author: str, note: str = ""
    ) -> int:
        """Publishes and returns the version; raises `ConfigConflictError`."""

    async def refresh(self) -> None:
        """Reads the stream to its end and applies what is newer."""
