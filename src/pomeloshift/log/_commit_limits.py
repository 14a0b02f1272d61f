"""The limits of a group committer."""

import attrs
from attrs import validators as v


@attrs.frozen
class CommitLimits:
    """Limits on the size and rate of appends and on the records that wait for them.

    ``min_interval_s`` is the shortest time between the starts of two appends. It
    limits a stream to its share of the log service's append rate. Retries back off
    exponentially from ``retry_base_s`` to ``retry_max_s``.
    """

    max_records: int = attrs.field(default=1000, validator=v.ge(1))
    max_bytes: int = attrs.field(default=1_048_576, validator=v.ge(1))
    min_interval_s: float = attrs.field(default=0.1, validator=v.ge(0))
    buffer_records: int = attrs.field(default=20_000, validator=v.ge(1))
    buffer_bytes: int = attrs.field(default=8_388_608, validator=v.ge(1))
    retry_base_s: float = attrs.field(default=0.1, validator=v.gt(0))
    retry_max_s: float = attrs.field(default=5.0, validator=v.gt(0))
