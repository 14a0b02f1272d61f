"""One version of the configuration."""

import attrs


@attrs.frozen
class ConfigVersion:
    """A configuration that was or is in force, with who published it."""

    version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0
