"""Records of the configuration stream."""

import attrs

CONFIG_STREAM = "config"


@attrs.frozen
class ConfigPublished:
    """An operator's publication of a complete configuration.

    The publication is accepted if ``base_version`` is the version in force at the
    record's offset. The publication then gets a version that is one more than the
    higher of this offset and the version in force. ``published_at`` is in seconds since
    the epoch and is only shown to operators.
    """

    base_version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0


@attrs.frozen
class ConfigCheckpoint:
    """Copies the state of the stream forward before the log expires its records.

    It holds the state after all records before the offset ``as_of``; ``version`` is the
    version in force at that point. ``outcomes`` maps the record ids of recent
    publications to the version that each got, or to 0 if it was refused. With them, a
    reader that starts at the checkpoint recognises a publication that is repeated
    later.
    """

    as_of: int
    version: int
    document: bytes
    author: str
    note: str = ""
    published_at: float = 0.0
    outcomes: dict[str, int] = attrs.field(factory=dict)
