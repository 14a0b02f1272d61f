"""Records of the configuration stream."""

import attrs

CONFIG_STREAM = "config"


@attrs.frozen
class ConfigPublished:
    """An operator's publication of a whole configuration.

    It takes effect if ``base_version`` is the version in force at its offset. Its
    version is then one more than its offset, or than the version in force if that is
    higher. ``published_at`` is in seconds since the epoch and shown to operators only.
    """

    base_version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0


@attrs.frozen
class ConfigCheckpoint:
    """Repeats the state of the stream before the records behind it expire.

    It holds the state after all records below ``as_of``; ``version`` is the version
    that the publication in force had then. ``outcomes`` gives recent publications by
    record id with the version each got, 0 for the refused, so that a late repeat is
    recognised by a reader that starts here.
    """

    as_of: int
    version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0
    outcomes: dict[str, int] = attrs.field(factory=dict)
