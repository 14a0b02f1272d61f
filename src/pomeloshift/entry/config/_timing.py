"""Intervals of reading the configuration stream and writing checkpoints."""

import attrs
from attrs import validators as v


@attrs.frozen
class ConfigTiming:
    """Times in seconds.

    The chosen reader of a region polls every ``poll_s``, the other entries every
    ``follower_poll_s`` in case a push did not reach them; failed reads back off up
    to ``max_backoff_s``. The configuration in force is appended again after
    ``checkpoint_s``, which must be well below the log's retention. ``restore_s`` is
    how long the log may lack a version that this process applies before the process
    appends it. ``publish_limit_s`` is how long a publication waits for its outcome.
    """

    poll_s: float = attrs.field(default=0.5, validator=v.gt(0))
    follower_poll_s: float = attrs.field(default=2.0, validator=v.gt(0))
    max_backoff_s: float = attrs.field(default=5.0, validator=v.gt(0))
    checkpoint_s: float = attrs.field(default=600.0, validator=v.gt(0))
    restore_s: float = attrs.field(default=30.0, validator=v.gt(0))
    publish_limit_s: float = attrs.field(default=15.0, validator=v.gt(0))
