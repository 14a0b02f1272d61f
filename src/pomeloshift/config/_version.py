"""One version of the configuration."""

import attrs


@attrs.frozen
class ConfigVersion:
    """A configuration that is or was in force, with its author.

    ``published_at`` is in seconds since the epoch.
    """

    version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0
