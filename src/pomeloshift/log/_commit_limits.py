"""Limits of a group committer."""

import attrs
from attrs import validators as v


@attrs.frozen
class CommitLimits:
    """How large appends are, how often they come and how much may wait.

    ``min_interval_s`` is the shortest time between the starts of two appends, so
    that a stream never costs more than its share of the service's append rate.
    """

    max_records: int = attrs.field(default=1000, validator=v.ge(1))
    max_bytes: int = attrs.field(default=1_048_576, validator=v.ge(1))
    min_interval_s: float = attrs.field(default=0.1, validator=v.ge(0))
    buffer_records: int = attrs.field(default=20_000, validator=v.ge(1))
    buffer_bytes: int = attrs.field(default=8_388_608, validator=v.ge(1))
    retry_base_s: float = attrs.field(default=0.1, validator=v.gt(0))
    retry_max_s: float = attrs.field(default=5.0, validator=v.gt(0))
